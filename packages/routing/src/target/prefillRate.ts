/** Speed of a target as its answers show it. */

/** Weight of what was measured before, for each new measurement. */
const KEPT = 0.8;

/** Uncached tokens below which a first token says little about the prefill speed. */
const LEAST_TOKENS = 64;

/** A mean that forgets. */
export class MovingMean {
  private mean = 0;

  /** Takes up a measurement; larger weights count more. */
  add(value: number): void {
    this.mean = this.mean === 0 ? value : KEPT * this.mean + (1 - KEPT) * value;
  }

  /** 0: nothing measured yet. */
  get value(): number {
    return this.mean;
  }
}

/** Prefill speed, weighted by the tokens that each measurement covers. */
export class PrefillRate {
  private tokens = 0;
  private ms = 0;

  /** `tokens` were prefilled within `ms` milliseconds. */
  add(tokens: number, ms: number): void {
    if (tokens < LEAST_TOKENS || ms <= 0) return;
    this.tokens = KEPT * this.tokens + tokens;
    this.ms = KEPT * this.ms + ms;
  }

  /** Tokens a second; 0: nothing measured yet. */
  get value(): number {
    return this.ms > 0 ? (this.tokens * 1_000) / this.ms : 0;
  }
}
