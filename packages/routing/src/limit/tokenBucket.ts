/** Token bucket on a clock that is passed in. */
import type { Clock } from '@jasmineroute/core';

/** Allows `rate` takings a second on average and `burst` at once. */
export class TokenBucket {
  private tokens: number;
  private last: number;

  constructor(
    private readonly clock: Clock,
    private rate: number,
    private burst: number,
  ) {
    this.tokens = burst;
    this.last = clock.monotonic();
  }

  /** Takes up new limits; what is in the bucket stays, up to the new burst. */
  resize(rate: number, burst: number): void {
    this.refill();
    this.rate = rate;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes one. @returns 0, or the milliseconds until one will be there; then nothing is taken. */
  take(): number {
    this.refill();
    if (this.tokens < 1) return Math.max(1, Math.ceil(((1 - this.tokens) / this.rate) * 1_000));
    this.tokens -= 1;
    return 0;
  }

  /** Puts one back that was not used. */
  giveBack(): void {
    this.tokens = Math.min(this.burst, this.tokens + 1);
  }

  private refill(): void {
    const now = this.clock.monotonic();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.last) * this.rate) / 1_000);
    this.last = now;
  }
}
