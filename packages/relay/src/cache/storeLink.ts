/** Load of a store's link, which all fetches from the store share. */
import type { Configuration, Service } from '@jasmineroute/configuration';
import type { Backlog } from '../target/index.js';

/**
 * Longest acceptable wait for a store's link, as a fraction of the prompt's latency objective. A fetch counts until
 * its first token arrives, so about half of the counted wait is already over, and the rest leaves half of the
 * objective. Fetches are serialized. When all requests that waited during an outage arrive at once, each waits for
 * those before it; as fetches use an estimated nine tenths of the link at usual load, a queue of 1.5 s lasted for 4 s
 * and made every first token late. Above the limit the parts are read again, which is expensive, so the limit must
 * not be lower: with a third of the objective, three times as many tokens were read again.
 */
const MAX_WAIT_RATIO = 1;

/** Defaults for the memory of one token (bytes) and the speed of a link (Mbit/s). */
const DEFAULT_TOKEN_BYTES = 192_512;
const DEFAULT_LINK_MBPS = 420_000;

/** A fetch between data centres takes twice as long, and most targets are in another data centre than the store. */
const DISTANCE_FACTOR = 2;

const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/** Time to transfer one token over a store's link, milliseconds. */
export function tokenFetchMs({ services }: Configuration, service: Service, store: string): number {
  const { linkMbps } = services.find(({ storeAddress }) => storeAddress === store) ?? {};
  const bits = (service.engine?.tokenBytes ?? DEFAULT_TOKEN_BYTES) * BITS_PER_BYTE * DISTANCE_FACTOR;
  return bits / ((linkMbps ?? DEFAULT_LINK_MBPS) * BITS_PER_MS_PER_MBPS);
}

/**
 * Time until all pending fetches over a store's link are done, milliseconds. The backlog counts them like a target's
 * prompts, under the store's address.
 */
export function linkWaitMs(backlog: Backlog, store: string, tokenMs: number): number {
  return backlog.tokensAt(store) * tokenMs;
}

/** Whether the wait for a store's link is too long for a prompt's latency objective; both in milliseconds. */
export function isLinkBusy(waitMs: number, objectiveMs: number): boolean {
  return waitMs > objectiveMs * MAX_WAIT_RATIO;
}
