/** The link of a store, which all that is fetched from it shares. */
import type { Configuration, Service } from '@jasmineroute/configuration';
import type { Backlog } from '../target/index.js';

/**
 * Longest wait for a store's link that a prompt is sent into, milliseconds. What was fetched counts until its first token
 * came, so about half of it is over; the rest still leaves an objective of 400 ms. Fetches go one after the other. When
 * all that waits after an outage comes at once, each waits for those before it, and as fetches take nine tenths of the
 * link at usual load by estimate, the queue of 1.5 s stayed for 4 s and made every first token late. What finds the link that busy is
 * read again instead: 34 ms of one target, which is dear, so not before. With 120 ms three times as much was read again.
 */
const MOST_WAIT_MS = 600;

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

/** Whether what waits at a store's link takes too long; what waits there is counted like a target's prompts. */
export function isLinkBusy(backlog: Backlog, store: string, tokenMs: number): boolean {
  return backlog.tokensAt(store) * tokenMs > MOST_WAIT_MS;
}
