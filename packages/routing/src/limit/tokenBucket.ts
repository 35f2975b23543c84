/** Token bucket. */
import type { Clock } from '@jasmineroute/core';

/** Allows `rate` tokens per second on average and `burst` at once. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private rate: number,
    private burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.monotonic();
  }

  /** Applies new limits. The tokens in the bucket stay, up to the new burst. */
  resize(rate: number, burst: number): void {
    this.refill();
    this.rate = rate;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes a token. @returns 0, or the milliseconds until one is available; then none is taken. */
  take(): number {
    this.refill();
    if (this.tokens < 1) return Math.max(1, Math.ceil(((1 - this.tokens) / this.rate) * 1_000));
    this.tokens -= 1;
    return 0;
  }

  /** Returns a token that was not used. */
  refund(): void {
    this.tokens = Math.min(this.burst, this.tokens + 1);
  }

  private refill(): void {
    const now = this.clock.monotonic();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) * this.rate) / 1_000);
    this.refilledAt = now;
  }
}
