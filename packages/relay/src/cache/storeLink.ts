/** The link of a store, which all that is fetched from it shares. */
import type { Configuration, Service } from '@jasmineroute/configuration';
import type { Backlog } from '../target/index.js';

/**
 * Longest wait for a store's link that a prompt is sent into, as a part of its objective. What was fetched counts until its
 * first token came, so about half of it is over; the rest still leaves half of the objective. Fetches go one after the
 * other. When all that waits after an outage comes at once, each waits for those before it, and as fetches take nine tenths of the
 * link at usual load by estimate, the queue of 1.5 s stayed for 4 s and made every first token late. What finds the link that busy is
 * read again instead, which is dear, so not before: with a third of the objective three times as much was read again.
 */
const MOST_WAIT = 1;

/** Memory of one token and speed of a link where the configuration names none: bytes, Mbit/s. */
const DEFAULT_TOKEN_BYTES = 192_512;
const DEFAULT_LINK_MBPS = 420_000;

/** Between data centres a fetch takes twice as long, and most targets are in another one than the store. */
const DISTANCE = 2;

const BITS = 8;
const BITS_PER_MS_AND_MBPS = 1_000;

/** Time that one token takes on a store's link, milliseconds. */
export function fetchMs({ services }: Configuration, service: Service, store: string): number {
  const { linkMbps } = services.find(({ storeAddress }) => storeAddress === store) ?? {};
  const bits = (service.engine?.tokenBytes ?? DEFAULT_TOKEN_BYTES) * BITS * DISTANCE;
  return bits / ((linkMbps ?? DEFAULT_LINK_MBPS) * BITS_PER_MS_AND_MBPS);
}

/** How long what waits at a store's link takes, milliseconds; it is counted like a target's prompts. */
export function linkWaitMs(backlog: Backlog, store: string, tokenMs: number): number {
  return backlog.tokensAt(store) * tokenMs;
}

/** Whether a wait for a store's link is too long for a prompt with an objective, milliseconds both. */
export function isLinkBusy(waitMs: number, objectiveMs: number): boolean {
  return waitMs > objectiveMs * MOST_WAIT;
}
