/** Watches the stores of kept KV cache that the configuration names. */
import { configuration } from '@jasmineroute/configuration';
import { ProblemTally, runLasting } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { KeptParts } from '@jasmineroute/protocol';
import type { CacheNews } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import { controlEvents } from '../events.js';

/** How long a store may hold a call until it has news, milliseconds: the time in which its end is noticed. */
const WAIT_MS = 600;

/** Time beyond that for the answer, milliseconds: some hundred times the way there and back. */
const ANSWER_MS = 400;

/** Pause before a store that did not answer, or has too many calls, is called again, milliseconds. */
const PAUSE_MS = 400;

/** Longest wait for the whole list of a store, milliseconds: some thousand parts. */
const LIST_MS = 1_000;

/**
 * Least time between two whole lists of one store, milliseconds: a list stalls the store's work, and a store whose events
 * are lost all the time would be stalled all the time. Chosen: some times what a store takes to turn over.
 */
const LIST_PAUSE_MS = 30_000;

/** Calls to stores. */
export interface StorePort {
  /**
   * Events after `since`, or none after `waitMs`; undefined when the store is there but takes no further call.
   * Rejects when it can't be reached within `timeoutMs`.
   */
  news(address: string, since: number, waitMs: number, timeoutMs: number): Promise<CacheNews | undefined>;
  /** All that a store keeps, as if it had just been kept. Rejects when it does not come within `timeoutMs`. */
  list(address: string, timeoutMs: number): Promise<CacheNews>;
}

const decoder = new TextDecoder();

/**
 * Knows which stores answer, and what they keep. A target that is told to fetch from a store that is gone waits some
 * hundred ms for it, with each request: first tokens are late while it lasts, and nothing else shows why. Without
 * knowing what a store keeps, entries copied with nearly every request, each time with a part that nobody shares, and
 * the shared ones were pushed out and read again.
 */
export class StoreWatch {
  /** What the stores keep. */
  readonly kept = new KeptParts();
  private readonly lostAddresses = new Set<string>();
  private readonly watched = new Set<string>();
  private readonly listeners = new Set<() => void>();
  /** Monotonic time at which a store was listed last, by its address. */
  private readonly listedAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  /** Whether this turn's changes were followed, and whether there were more since. */
  private isAdjusted = false;
  private isToAdjust = false;
  private readonly unreadable: ProblemTally;
  private read: { readonly number: bigint; readonly addresses: readonly string[] } = {
    number: 0n,
    addresses: [],
  };

  constructor(
    private readonly state: ConfigurationState,
    private readonly port: StorePort,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.unreadable = new ProblemTally(log, controlEvents.unreadableEvents);
  }

  /** Addresses of stores that give no answer. */
  lost(): string[] {
    return [...this.lostAddresses];
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Begins to watch, also stores of later configurations. */
  start(): void {
    this.adjust();
    this.state.onChange(() => {
      this.noteChange();
    });
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Addresses of the configuration held; it is read once for each number, as it may be large. */
  private addresses(): readonly string[] {
    const { number, content } = this.state.held();
    if (number !== this.read.number) this.read = { number, addresses: storesOf(content) };
    return this.read.addresses;
  }

  /**
   * At the first change of a turn of the event loop, and once for all others: reading a configuration takes time, and after a
   * restart all that there were are applied one after the other.
   */
  private noteChange(): void {
    if (this.isAdjusted) {
      this.isToAdjust = true;
      return;
    }
    this.adjust();
    this.isAdjusted = true;
    queueMicrotask(() => {
      this.isAdjusted = false;
      if (this.isToAdjust && !this.stopped.signal.aborted) this.adjust();
      this.isToAdjust = false;
    });
  }

  private adjust(): void {
    for (const address of this.addresses()) {
      if (this.watched.has(address)) continue;
      this.watched.add(address);
      runLasting('watch over a store', this.watch(address));
    }
  }

  private async watch(address: string): Promise<void> {
    const { signal } = this.stopped;
    let last: CacheNews | undefined;
    while (!signal.aborted && this.addresses().includes(address)) {
      const since = last?.next ?? 0;
      const told = await this.port.news(address, since, WAIT_MS, WAIT_MS + ANSWER_MS).then(
        (news) => ({ news, problem: '' }),
        (problem: unknown) => ({ news: undefined, problem: String(problem) }),
      );
      this.note(address, told.problem);
      this.noteUnread(address, told.news);
      if (told.news === undefined) await this.clock.sleep(PAUSE_MS, signal).catch(() => undefined);
      else last = (await this.filled(address, told.news)) ?? this.kept.take(address, told.news, last);
    }
    this.watched.delete(address);
    this.kept.forget(address);
    this.note(address, '');
  }

  /**
   * All that a store keeps, when some of its events are gone; undefined: none is, or it does not tell. A store remembers its
   * newest few thousand events, fewer than it has parts: an instance that starts took those for missing that came before.
   */
  private async filled(address: string, { hasGap }: CacheNews): Promise<CacheNews | undefined> {
    const now = this.clock.monotonic();
    const isSoon = now - (this.listedAt.get(address) ?? Number.NEGATIVE_INFINITY) < LIST_PAUSE_MS;
    if (!hasGap || isSoon) return undefined;
    this.listedAt.set(address, now);
    const list = await this.port.list(address, LIST_MS).catch((problem: unknown) => {
      this.log.event(controlEvents.storeNotListed, { store: address, problem: String(problem) });
      return undefined;
    });
    if (list === undefined) return undefined;
    this.noteUnread(address, list);
    this.log.event(controlEvents.storeListed, { store: address, parts: list.events.length });
    return this.kept.take(address, list, undefined);
  }

  private noteUnread(address: string, news: CacheNews | undefined): void {
    if (news?.unread !== undefined) this.unreadable.note(address, news.unread.problem, news.unread.count);
  }

  /** @param problem why the store did not answer; empty: it did. */
  private note(address: string, problem: string): void {
    const isLost = problem !== '';
    if (this.lostAddresses.has(address) === isLost || this.stopped.signal.aborted) return;
    if (isLost) this.lostAddresses.add(address);
    else this.lostAddresses.delete(address);
    this.log.event(isLost ? controlEvents.storeLost : controlEvents.storeFound, { store: address, problem });
    for (const listener of this.listeners) listener();
  }
}

function storesOf(content: Uint8Array): string[] {
  const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
  const services = parsed.success ? parsed.data.services : [];
  return services.flatMap(({ storeAddress: address }) => (address === undefined ? [] : [address]));
}
