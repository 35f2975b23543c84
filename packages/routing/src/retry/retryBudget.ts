/**
 * Retry budget of an entry.
 *
 * When targets fail, unlimited retries of their requests add load to the remaining targets until these fail too,
 * which shows in the number of attempts per request. The budget limits retries to a fixed share of the requests, so
 * that they add at most that share to the load however many requests fail.
 */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries allowed per request, such as 0.1. */
  readonly share: number;
  /** Maximum number of accumulated retries, and their number at the start. */
  readonly burst: number;
}

/** Retry budget shared by all requests of an entry process. */
export class RetryBudget {
  private available: number;

  constructor(private readonly options: RetryBudgetOptions = { share: 0.1, burst: 10 }) {
    this.available = options.burst;
  }

  /** Adds to the budget for the first attempt of a request. */
  deposit(): void {
    this.available = Math.min(this.options.burst, this.available + this.options.share);
  }

  /** Takes one retry. @returns false when the budget is exhausted; the fault must then be returned to the caller. */
  withdraw(): boolean {
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}
