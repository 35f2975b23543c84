/** Sends member changes to one other control instance. */
import { createClient } from '@connectrpc/connect';
import type { FailureDetector } from '@jasmineroute/coordination';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage, faultOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { directoryEvents } from '../events.js';
import { CallLimit } from '../call/index.js';
import type { ChangeSignal } from '../server/changeSignal.js';
import { digestToMessage } from './exchange.js';
import type { InstanceStore } from './instanceStore.js';

/** Interval between exchanges without changes, in milliseconds. Each also shows that the sender is alive. */
const EXCHANGE_INTERVAL_MS = 300;
/** Changes within this time are sent together, in milliseconds. */
const COALESCE_MS = 20;
/** Timeout of one exchange, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 1_000;
/** Consecutive failed exchanges after which the connection is closed and opened again. */
const FAILURES_BEFORE_RECONNECT = 2;

/** Another control instance. */
export interface ControlPeer {
  readonly name: string;
  /** host:port. */
  readonly address: string;
}

/** Dependencies of the exchange task. */
export interface ExchangeContext {
  readonly self: { readonly name: string; readonly incarnation: bigint };
  readonly detector: FailureDetector;
  readonly store: InstanceStore;
  readonly changed: ChangeSignal;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** Sends exchanges to one peer until `signal` is aborted. Each holds the changes since the last acknowledged one. */
export async function runExchange(
  context: ExchangeContext,
  peer: ControlPeer,
  signal: AbortSignal,
): Promise<void> {
  const { clock, changed, log, peers } = context;
  let since = 0n;
  let failures = 0;
  while (!signal.aborted) {
    const taken = await exchangeOnce(context, peer, since, signal);
    if (taken !== undefined) {
      if (failures > 0) log.event(directoryEvents.exchangeRestored, { peer: peer.name });
      failures = 0;
      since = taken;
    } else {
      failures += 1;
      if (failures % FAILURES_BEFORE_RECONNECT === 0) peers.drop(peer.address);
    }
    await changed.wait(clock, EXCHANGE_INTERVAL_MS, signal);
    await clock.sleep(COALESCE_MS, signal).catch(() => undefined);
  }
}

/** @returns the sequence number up to which the peer has all changes; undefined if it did not answer. */
async function exchangeOnce(
  context: ExchangeContext,
  peer: ControlPeer,
  since: bigint,
  stop: AbortSignal,
): Promise<bigint | undefined> {
  const { detector, store, self, clock, peers, log } = context;
  const digest = detector.digest(since, peer.name);
  const limit = new CallLimit(stop).after(clock, EXCHANGE_TIMEOUT_MS);
  try {
    const client = createClient(controlMessage.Gossip, peers.transport(peer.address));
    const answer = await client.exchange(digestToMessage(self, digest, store), { signal: limit.signal });
    return answer.resend ? 0n : digest.upTo;
  } catch (error) {
    if (!stop.aborted)
      log.event(directoryEvents.exchangeFailed, { peer: peer.name, problem: faultOf(error).message });
    return undefined;
  } finally {
    limit.release();
  }
}
