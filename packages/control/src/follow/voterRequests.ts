/** Requests of a control instance to become a voter of the cluster. */
import { createClient } from '@connectrpc/connect';
import type { Clock, EventKind, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';

/** Pause between two rounds of requests, milliseconds: about the duration of an election. */
const RETRY_MS = 500;

/**
 * Longest pause of an instance that is a voter by its own log, milliseconds. While there is no leader every instance sends
 * requests to all others, and that load delays the election. An instance that has lost its vote regains it later because of
 * this pause.
 */
const MAX_RETRY_MS = 2_000;

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 800;

/** States of the log in which a replica votes. */
const VOTING_STATES = new Set(['leader', 'follower', 'candidate']);

/** Dependencies of the voter requests. */
export interface VoterRequestParts {
  readonly name: string;
  /** Own address, host:port. */
  readonly address: string;
  /** Addresses of control instances that may belong to the cluster. */
  readonly known: () => readonly string[];
  readonly commandLog: CommandLog;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Requests the voter role whenever this instance doesn't vote or is not in contact with a quorum: at its first start beside
 * an existing cluster, after its disk was replaced, and when it lost its vote while it was unreachable, which it is not
 * notified of. Repeats the request, as the leader may change or be unknown.
 */
export async function requestVoterRole(parts: VoterRequestParts, signal: AbortSignal): Promise<void> {
  const { commandLog, clock } = parts;
  const requester = new VoterRequester(parts);
  // A voter finds the leader without a request. Without a vote the first request goes out at once: after a replaced disk the
  // cluster lacks a voter until then.
  if (!VOTING_STATES.has(commandLog.status().state)) await requester.requestFromAll();
  let pauseMs = RETRY_MS;
  for (;;) {
    await clock.sleep(pauseMs, signal).catch(() => undefined);
    if (signal.aborted) return;
    const { state, vouched } = commandLog.status();
    const isVoting = VOTING_STATES.has(state);
    if (!isVoting || !vouched) await requester.requestFromAll();
    pauseMs = isVoting && !vouched ? Math.min(MAX_RETRY_MS, pauseMs * 2) : RETRY_MS;
  }
}

/** Sends the requests of one instance and logs the answers that changed. */
class VoterRequester {
  /** Last logged answer by address: without a quorum the same answer comes twice a second. */
  private readonly logged = new Map<string, string>();

  constructor(private readonly parts: VoterRequestParts) {}

  /**
   * Sends the request to all known instances, then to the leaders that they name. In parallel: the settings may list
   * instances that are gone, and in sequence each of them would cost a timeout.
   */
  async requestFromAll(): Promise<void> {
    const { address, known } = this.parts;
    const others = new Set(known());
    others.delete(address);
    const answers = await Promise.all([...others].map((other) => this.request(other)));
    const leaders = new Set(answers.filter((leader) => leader !== address && !others.has(leader)));
    leaders.delete('');
    await Promise.all([...leaders].map((leader) => this.request(leader)));
  }

  /** Sends one request. @returns the leader's address; empty without an answer, or when the called instance leads. */
  private async request(asked: string): Promise<string> {
    const { name, address, peers } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(asked));
    try {
      const { leader } = await client.enlist({ name, address }, { timeoutMs: CALL_TIMEOUT_MS });
      this.logOnce(asked, controlEvents.voterRequestAnswered, { leader });
      return leader;
    } catch (error) {
      this.logOnce(asked, controlEvents.voterRequestUnanswered, { problem: String(error) });
      return '';
    }
  }

  private logOnce(asked: string, event: EventKind, fields: Record<string, string>): void {
    const line = JSON.stringify([event.id, fields]);
    if (this.logged.get(asked) === line) return;
    this.logged.set(asked, line);
    this.parts.log.event(event, { asked, ...fields });
  }
}
