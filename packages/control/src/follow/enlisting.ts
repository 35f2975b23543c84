/** The way of a control instance that is no voter yet into the cluster. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';

/** Pause between two attempts, milliseconds: about as long as an election takes. */
const RETRY_MS = 500;

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
  for (;;) {
    await clock.sleep(RETRY_MS, signal).catch(() => undefined);
    if (signal.aborted) return;
    const { state, vouched } = commandLog.status();
    if (!VOTING.has(state) || !vouched) await askAll(parts);
  }
}

/**
 * Asks all that are known, then the leader that they name, if it is another one. All at once: the settings may name
 * instances that are gone, and one after the other each of them would cost the time of a call.
 */
async function askAll(parts: EnlistingParts): Promise<void> {
  const known = [...new Set(parts.known())].filter((address) => address !== parts.address);
  const leaders = await Promise.all(known.map((address) => ask(parts, address)));
  const asked = [...known, parts.address, ''];
  const others = new Set(leaders.filter((leader) => leader !== undefined && !asked.includes(leader)));
  for (const leader of others) if (leader !== undefined) await ask(parts, leader);
}

/** One question. Undefined without an answer; the leader's address, or empty when the asked one leads. */
async function ask(parts: EnlistingParts, address: string): Promise<string | undefined> {
  const { name, peers, log } = parts;
  const client = createClient(controlMessage.Configurations, peers.transport(address));
  try {
    const { leader } = await client.enlist({ name, address: parts.address }, { timeoutMs: CALL_MS });
    log.event(controlEvents.enlisting, { asked: address, leader });
    return leader;
  } catch (error) {
    log.event(controlEvents.enlistUnanswered, { asked: address, problem: String(error) });
    // A connection that went silent is closed by nobody; the next question makes a new one.
    if (ConnectError.from(error).code === Code.DeadlineExceeded) peers.drop(address);
    return undefined;
  }
}
