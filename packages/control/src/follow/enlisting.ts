/** The way of a control instance that is no voter yet into the cluster. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';

/** Pause between two attempts, milliseconds: some elections long. */
const RETRY_MS = 1_000;

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
 * Asks the cluster to take this instance in, until it votes: at its first start beside a cluster that others
 * founded, and after its disk was replaced. Asked again and again, as the leader may change or be unknown.
 */
export async function enlist(parts: EnlistingParts, signal: AbortSignal): Promise<void> {
  const { commandLog, clock } = parts;
  for (;;) {
    await clock.sleep(RETRY_MS, signal).catch(() => undefined);
    if (signal.aborted) return;
    if (!VOTING.has(commandLog.status().state)) await askAll(parts);
  }
}

/** Asks one after the other until the leader has heard the wish. */
async function askAll(parts: EnlistingParts): Promise<void> {
  const asked = new Set([parts.address]);
  const queue = [...parts.known()];
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    if (asked.has(next)) continue;
    asked.add(next);
    const leader = await ask(parts, next);
    if (leader === undefined) continue;
    parts.log.event(controlEvents.enlisting, { asked: next, leader });
    if (leader === '') return;
    queue.unshift(leader);
  }
}

/** One question. Undefined without an answer; the leader's address, or empty when the asked one leads. */
async function ask(parts: EnlistingParts, address: string): Promise<string | undefined> {
  const { name, peers, log } = parts;
  const client = createClient(controlMessage.Configurations, peers.transport(address));
  try {
    const answer = await client.enlist({ name, address: parts.address }, { timeoutMs: CALL_MS });
    return answer.leader;
  } catch (error) {
    log.event(controlEvents.enlistUnanswered, { asked: address, problem: String(error) });
    return undefined;
  }
}
