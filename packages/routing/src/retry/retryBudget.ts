/**
 * Retry budget of an entry.
 *
 * What goes wrong: when targets fail, each failed request is sent again, the retries are load on the targets
 * that are left, and they fail too. The number of attempts a request shows it. Retries are a fixed share of the
 * requests here, so that they add at most that share to the load however many requests fail.
 */

/** What a budget is made with. */
export interface RetryBudgetOptions {
  /** Retries for each request, such as 0.1. */
  readonly share: number;
  /** Retries that may be saved up, and that are there at the start. */
  readonly burst: number;
}

/** Shared by all requests of one entry process. */
export class RetryBudget {
  private saved: number;

  constructor(private readonly options: RetryBudgetOptions = { share: 0.1, burst: 10 }) {
    this.saved = options.burst;
  }

  /** A first attempt goes out. */
  deposit(): void {
    this.saved = Math.min(this.options.burst, this.saved + this.options.share);
  }

  /** Takes one retry. @returns false when the budget is spent: the fault at hand goes to the caller. */
  withdraw(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
