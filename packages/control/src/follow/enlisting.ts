/** The way of a control instance that is no voter yet into the cluster. */
import { createClient } from '@connectrpc/connect';
import type { Clock, EventKind, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';

/** Pause between two attempts, milliseconds: about as long as an election takes. */
const RETRY_MS = 500;

/**
 * The same at most, for an instance that has a vote as far as it knows. While there is no leader all of them ask all others,
 * which takes the time that the election needs. One that has lost its vote meanwhile gets it back the later for it.
 */
const LAST_RETRY_MS = 2_000;

/** Time for one call, milliseconds. */
const CALL_MS = 800;

/** States of the log in which a replica votes. */
const VOTING = new Set(['leader', 'follower', 'candidate']);

/** What enlisting works with. */
export interface EnlistingParts {
  readonly name: string;
  /** Own address, host:port. */
  readonly address: string;
  /** Control instances that may know the cluster. */
  readonly known: () => readonly string[];
  readonly commandLog: CommandLog;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Asks the cluster to take this instance in, whenever it doesn't vote or hears of no leader: at its first start beside a
 * cluster that others founded, after its disk was replaced, and when it lost its vote while it was out of reach, of which
 * nobody tells it. Asked again and again, as the leader may change or be unknown.
 */
export async function enlist(parts: EnlistingParts, signal: AbortSignal): Promise<void> {
  const { commandLog, clock } = parts;
  const asking = new Asking(parts);
  // One that votes hears of a leader by itself; one with an empty disk leaves the others without a vote until it is taken in.
  if (!VOTING.has(commandLog.status().state)) await asking.askAll();
  let pauseMs = RETRY_MS;
  for (;;) {
    await clock.sleep(pauseMs, signal).catch(() => undefined);
    if (signal.aborted) return;
    const { state, vouched } = commandLog.status();
    const isVoting = VOTING.has(state);
    if (!isVoting || !vouched) await asking.askAll();
    pauseMs = isVoting && !vouched ? Math.min(LAST_RETRY_MS, pauseMs * 2) : RETRY_MS;
  }
}

/** The questions of one instance, with what it has logged of their answers. */
class Asking {
  /** What was logged last, by the address that was asked: without a quorum the same comes twice a second. */
  private readonly logged = new Map<string, string>();

  constructor(private readonly parts: EnlistingParts) {}

  /**
   * Asks all that are known, then the leaders that they name. All at once: the settings may name instances that are
   * gone, and one after the other each of them would cost the time of a call.
   */
  async askAll(): Promise<void> {
    const { address, known } = this.parts;
    const others = new Set(known());
    others.delete(address);
    const named = await Promise.all([...others].map((other) => this.ask(other)));
    const leaders = new Set(named.filter((leader) => leader !== address && !others.has(leader)));
    leaders.delete('');
    await Promise.all([...leaders].map((leader) => this.ask(leader)));
  }

  /** One question. @returns the leader's address; empty without an answer, and when the asked one leads. */
  private async ask(asked: string): Promise<string> {
    const { name, address, peers } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(asked));
    try {
      const { leader } = await client.enlist({ name, address }, { timeoutMs: CALL_MS });
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
