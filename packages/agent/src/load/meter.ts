/** Counts what is on its way, and measures the target's speed. */
import type { Clock } from '@jasmineroute/core';

/** Weight of the newest measurement. */
const NEWEST = 0.2;

/** Prefills below this many tokens say more about latency than about speed, and are not measured. */
const MIN_PREFILL_TOKENS = 256;

/** A request on its way to its first token. */
interface Pending {
  readonly priority: number;
  /** Prompt tokens that are expected not to be in the cache. */
  readonly tokens: number;
  readonly since: number;
  sent: boolean;
}

/** Follows one request. Calls in wrong order or twice change nothing. */
export interface Measure {
  /** It went to the target. */
  sent(): void;
  /** Its first byte came. */
  firstToken(): void;
  /** It ended, however. @param outputTokens 0: not known. */
  ended(outputTokens: number): void;
}

/**
 * Speeds of a target that works on several requests at once. Prefill: tokens done in the time in which at
 * least one large prefill was pending, so that waiting behind another one does not count twice, and many
 * requests whose prompts are cached do not make the target look slow.
 */
export class LoadMeter {
  private readonly pending = new Set<Pending>();
  private large = 0;
  private busySince = 0;
  private busyMs = 0;
  private busyTokens = 0;
  private rate = 0;
  private tokenTime = 0;
  private runTime = 0;

  constructor(private readonly clock: Clock) {}

  /** Prefill speed, tokens a second; 0: not known yet. */
  get prefillRate(): number {
    return this.rate;
  }

  /** Time between output tokens, milliseconds; 0: not known yet. */
  get tokenMs(): number {
    return this.tokenTime;
  }

  /** Time of a whole run at the target, milliseconds; 0: not known yet. */
  get runMs(): number {
    return this.runTime;
  }

  /** Tokens that wait for prefill at a priority or above. */
  ahead(priority: number): number {
    let sum = 0;
    for (const entry of this.pending) if (entry.priority >= priority) sum += entry.tokens;
    return sum;
  }

  /** How long the oldest request at a priority or above has waited to be sent, milliseconds. */
  waitedMs(priority: number): number {
    const now = this.clock.monotonic();
    let longest = 0;
    for (const entry of this.pending) {
      if (!entry.sent && entry.priority >= priority) longest = Math.max(longest, now - entry.since);
    }
    return longest;
  }

  /** Follows a request from its arrival. @param onFirst told the milliseconds from sending to the first byte. */
  measure(priority: number, tokens: number, onFirst: (ms: number) => void = () => undefined): Measure {
    const entry: Pending = { priority, tokens, since: this.clock.monotonic(), sent: false };
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
        else if (outputTokens > 1) this.tokenTime = mix(this.tokenTime, (now - firstAt) / (outputTokens - 1));
        this.runTime = mix(this.runTime, now - sentAt);
        sentAt = undefined;
      },
    };
  }

  private startPrefill(now: number, tokens: number): void {
    if (tokens < MIN_PREFILL_TOKENS) return;
    if (this.large === 0) {
      this.busySince = now;
      this.busyMs = 0;
      this.busyTokens = 0;
    }
    this.large++;
  }

  /** @param done tokens of it that were worked off: all or, after a failure, none. */
  private endPrefill(now: number, tokens: number, done: number): void {
    if (this.large === 0) return;
    this.busyMs += now - this.busySince;
    this.busySince = now;
    this.busyTokens += done;
    if (tokens < MIN_PREFILL_TOKENS) return;
    this.large--;
    if (this.busyTokens < MIN_PREFILL_TOKENS || this.busyMs <= 0) return;
    this.rate = mix(this.rate, (this.busyTokens * 1_000) / this.busyMs);
    this.busyTokens = 0;
    this.busyMs = 0;
  }
}

function mix(old: number, value: number): number {
  return old === 0 ? value : old + NEWEST * (value - old);
}
