/** Counts pending prompt tokens and measures the speed of the target. */
import type { Clock } from '@jasmineroute/core';

/** Weight of the newest measurement in the moving averages. */
const SMOOTHING_FACTOR = 0.2;

/** Smaller prefills are not measured, as fixed latency outweighs the time of their tokens. */
const MIN_PREFILL_TOKENS = 256;

/** A request before its first token. */
interface PendingRequest {
  readonly priority: number;
  /** Uncached prompt tokens, as expected. */
  readonly tokens: number;
  readonly since: number;
  sent: boolean;
}

/** Measures one request. Calls out of order or repeated calls have no effect. */
export interface RequestMeasurement {
  /** The request was sent to the target. */
  sent(): void;
  /** The first byte of the body arrived. */
  firstToken(): void;
  /** The request ended, successfully or not. @param outputTokens 0 when unknown. */
  ended(outputTokens: number): void;
}

/**
 * Measures the speed of a target that runs requests concurrently. The prefill rate is the number of tokens computed
 * per time in which at least one large prefill was pending. So time spent waiting behind another prefill is not
 * counted twice, and many requests with cached prompts do not make the target look slow.
 */
export class LoadMeter {
  private readonly pending = new Set<PendingRequest>();
  private largePrefills = 0;
  private busySince = 0;
  private busyMs = 0;
  private busyTokens = 0;
  private averagePrefillRate = 0;
  private averageTokenMs = 0;
  private averageRunMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Prefill rate, tokens per second; 0 while unknown. */
  get prefillRate(): number {
    return this.averagePrefillRate;
  }

  /** Time between output tokens, milliseconds; 0 while unknown. */
  get tokenMs(): number {
    return this.averageTokenMs;
  }

  /** Duration of a run at the target, milliseconds; 0 while unknown. */
  get runMs(): number {
    return this.averageRunMs;
  }

  /** Uncached tokens of requests before their first token, at a priority or above. */
  pendingTokens(priority: number): number {
    let sum = 0;
    for (const entry of this.pending) if (entry.priority >= priority) sum += entry.tokens;
    return sum;
  }

  /** Longest time that an unsent request at a priority or above has waited, milliseconds. */
  waitedMs(priority: number): number {
    const now = this.clock.monotonic();
    let longest = 0;
    for (const entry of this.pending) {
      if (!entry.sent && entry.priority >= priority) longest = Math.max(longest, now - entry.since);
    }
    return longest;
  }

  /**
   * Starts measuring a request on its arrival.
   * @param onFirst called with the milliseconds from sending to the first byte.
   */
  track(
    priority: number,
    tokens: number,
    onFirst: (ms: number) => void = () => undefined,
  ): RequestMeasurement {
    const entry: PendingRequest = { priority, tokens, since: this.clock.monotonic(), sent: false };
    this.pending.add(entry);
    let sentAt: number | undefined;
    let firstAt: number | undefined;
    return {
      sent: () => {
        sentAt = this.clock.monotonic();
        entry.sent = true;
        this.startPrefill(sentAt, tokens);
      },
      firstToken: () => {
        if (sentAt === undefined || firstAt !== undefined) return;
        firstAt = this.clock.monotonic();
        this.pending.delete(entry);
        this.endPrefill(firstAt, tokens, tokens);
        onFirst(firstAt - sentAt);
      },
      ended: (outputTokens) => {
        const now = this.clock.monotonic();
        this.pending.delete(entry);
        if (sentAt === undefined) return;
        if (firstAt === undefined) this.endPrefill(now, tokens, 0);
        else if (outputTokens > 1)
          this.averageTokenMs = smoothed(this.averageTokenMs, (now - firstAt) / (outputTokens - 1));
        this.averageRunMs = smoothed(this.averageRunMs, now - sentAt);
        sentAt = undefined;
      },
    };
  }

  private startPrefill(now: number, tokens: number): void {
    if (tokens < MIN_PREFILL_TOKENS) return;
    if (this.largePrefills === 0) {
      this.busySince = now;
      this.busyMs = 0;
      this.busyTokens = 0;
    }
    this.largePrefills++;
  }

  /** @param done tokens that were computed: all or, after a failure, none. */
  private endPrefill(now: number, tokens: number, done: number): void {
    if (this.largePrefills === 0) return;
    this.busyMs += now - this.busySince;
    this.busySince = now;
    this.busyTokens += done;
    if (tokens < MIN_PREFILL_TOKENS) return;
    this.largePrefills--;
    if (this.busyTokens < MIN_PREFILL_TOKENS || this.busyMs <= 0) return;
    this.averagePrefillRate = smoothed(this.averagePrefillRate, (this.busyTokens * 1_000) / this.busyMs);
    this.busyTokens = 0;
    this.busyMs = 0;
  }
}

function smoothed(old: number, value: number): number {
  return old === 0 ? value : old + SMOOTHING_FACTOR * (value - old);
}
