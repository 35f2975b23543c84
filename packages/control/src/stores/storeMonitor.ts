/** Monitors the KV cache stores of the configuration. */
import { configuration } from '@jasmineroute/configuration';
import { ProblemTally, superviseTask } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { CachedParts } from '@jasmineroute/protocol';
import type { CacheUpdate } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import { controlEvents } from '../events.js';
import { controlMetrics } from '../metrics.js';

/** How long a store may hold a call while it has no event, milliseconds. Determines how soon a lost store is noticed. */
const LONG_POLL_MS = 600;

/** Time allowed for the answer after that, milliseconds: some hundred round trips. */
const ANSWER_MARGIN_MS = 400;

/** Delay before the next call to a store that did not answer or has too many calls, milliseconds. */
const RETRY_DELAY_MS = 400;

/** Longest wait for the whole list of a store, milliseconds; it has some thousand parts. */
const LIST_TIMEOUT_MS = 1_000;

/**
 * Minimum time between two whole lists of one store, milliseconds: a list stalls the store, and a store whose events are
 * lost continually would be stalled continually. Several times as long as a store takes to replace its content.
 */
const MIN_LIST_INTERVAL_MS = 30_000;

/** Calls to stores. */
export interface StorePort {
  /**
   * Events after `since`, or none after `waitMs`; undefined when the store is reachable but accepts no further call.
   * Rejects when it can't be reached within `timeoutMs`.
   */
  news(address: string, since: number, waitMs: number, timeoutMs: number): Promise<CacheUpdate | undefined>;
  /** The whole content of a store, as events of parts just kept. Rejects when it does not arrive within `timeoutMs`. */
  list(address: string, timeoutMs: number): Promise<CacheUpdate>;
}

const decoder = new TextDecoder();

/**
 * Tracks which stores answer and what they keep. A target that has to fetch from an unreachable store waits some hundred
 * ms for it with each request: first tokens are late for as long as that lasts, and nothing else shows the reason. Without
 * the content of the stores, entries copy parts with nearly every request, also parts that no other request shares; these
 * evict the shared parts, which are then computed again.
 */
export class StoreMonitor {
  /** Parts that the stores keep. */
  readonly kept = new CachedParts();
  private readonly unreachableAddresses = new Set<string>();
  private readonly monitoredAddresses = new Set<string>();
  private readonly listeners = new Set<() => void>();
  /** Monotonic time of the last list of a store, by address. */
  private readonly listedAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  /** Whether a change was handled in this turn of the event loop, and whether more changes came after it. */
  private hasUpdatedThisTurn = false;
  private isUpdatePending = false;
  private readonly unreadableTally: ProblemTally;
  private parsedAddresses: { readonly number: bigint; readonly addresses: readonly string[] } = {
    number: 0n,
    addresses: [],
  };

  constructor(
    private readonly state: ConfigurationState,
    private readonly port: StorePort,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {
    this.unreadableTally = new ProblemTally(log, controlEvents.unreadableEvents);
  }

  /** Addresses of the stores that don't answer. */
  lost(): string[] {
    return [...this.unreachableAddresses];
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Starts to monitor the stores of the current configuration and of later ones. */
  start(): void {
    this.monitorNewStores();
    this.state.onChange(() => {
      this.onConfigurationChange();
    });
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Store addresses of the configuration held. It may be large, so it is parsed once for each number. */
  private addresses(): readonly string[] {
    const { number, content } = this.state.held();
    if (number !== this.parsedAddresses.number)
      this.parsedAddresses = { number, addresses: storeAddresses(content) };
    return this.parsedAddresses.addresses;
  }

  /**
   * Handles the first change of a turn of the event loop at once and all others together at its end: parsing a
   * configuration takes time, and after a restart all configurations of the log are applied one after the other.
   */
  private onConfigurationChange(): void {
    if (this.hasUpdatedThisTurn) {
      this.isUpdatePending = true;
      return;
    }
    this.monitorNewStores();
    this.hasUpdatedThisTurn = true;
    queueMicrotask(() => {
      this.hasUpdatedThisTurn = false;
      if (this.isUpdatePending && !this.stopped.signal.aborted) this.monitorNewStores();
      this.isUpdatePending = false;
    });
  }

  private monitorNewStores(): void {
    for (const address of this.addresses()) {
      if (this.monitoredAddresses.has(address)) continue;
      this.monitoredAddresses.add(address);
      void superviseTask(() => this.monitor(address), {
        clock: this.clock,
        signal: this.stopped.signal,
        onFailure: (error) => {
          this.recordFailure(address, error);
        },
      });
    }
  }

  private recordFailure(address: string, error: unknown): void {
    const problem = String(error);
    this.metrics.count(controlMetrics.storeFailures);
    this.log.event(controlEvents.storeMonitorFailed, { store: address, problem });
    this.recordReachability(address, problem);
  }

  private async monitor(address: string): Promise<void> {
    const { signal } = this.stopped;
    let lastUpdate: CacheUpdate | undefined;
    while (!signal.aborted && this.addresses().includes(address)) {
      const since = lastUpdate?.next ?? 0;
      const answer = await this.port.news(address, since, LONG_POLL_MS, LONG_POLL_MS + ANSWER_MARGIN_MS).then(
        (update) => ({ update, problem: '' }),
        (problem: unknown) => ({ update: undefined, problem: String(problem) }),
      );
      this.recordReachability(address, answer.problem);
      this.recordUnreadable(address, answer.update);
      if (answer.update === undefined) await this.clock.sleep(RETRY_DELAY_MS, signal).catch(() => undefined);
      else
        lastUpdate =
          (await this.listAfterGap(address, answer.update)) ??
          this.kept.applyUpdate(address, answer.update, lastUpdate);
    }
    this.monitoredAddresses.delete(address);
    this.kept.removeAll(address);
    this.recordReachability(address, '');
  }

  /**
   * Lists the whole content of a store when events are missing; undefined when none is, when the last list is too recent
   * or when the list fails. A store remembers its newest few thousand events, fewer than it has parts: an instance that
   * has just started would otherwise treat parts of earlier events as missing.
   */
  private async listAfterGap(address: string, { hasGap }: CacheUpdate): Promise<CacheUpdate | undefined> {
    const now = this.clock.monotonic();
    const isTooSoon = now - (this.listedAt.get(address) ?? Number.NEGATIVE_INFINITY) < MIN_LIST_INTERVAL_MS;
    if (!hasGap || isTooSoon) return undefined;
    this.listedAt.set(address, now);
    const list = await this.port.list(address, LIST_TIMEOUT_MS).catch((problem: unknown) => {
      this.log.event(controlEvents.storeListFailed, { store: address, problem: String(problem) });
      return undefined;
    });
    if (list === undefined) return undefined;
    this.recordUnreadable(address, list);
    this.log.event(controlEvents.storeListed, { store: address, parts: list.events.length });
    return this.kept.applyUpdate(address, list, undefined);
  }

  private recordUnreadable(address: string, update: CacheUpdate | undefined): void {
    if (update?.unread !== undefined)
      this.unreadableTally.record(address, update.unread.problem, update.unread.count);
  }

  /** @param problem why the store did not answer; empty when it answered. */
  private recordReachability(address: string, problem: string): void {
    const isUnreachable = problem !== '';
    if (this.unreachableAddresses.has(address) === isUnreachable || this.stopped.signal.aborted) return;
    if (isUnreachable) this.unreachableAddresses.add(address);
    else this.unreachableAddresses.delete(address);
    this.log.event(isUnreachable ? controlEvents.storeUnreachable : controlEvents.storeRecovered, {
      store: address,
      problem,
    });
    for (const listener of this.listeners) listener();
  }
}

function storeAddresses(content: Uint8Array): string[] {
  const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
  const services = parsed.success ? parsed.data.services : [];
  return services.flatMap(({ storeAddress: address }) => (address === undefined ? [] : [address]));
}
