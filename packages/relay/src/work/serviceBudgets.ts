/** Retry budgets by service. */
import { RetryBudget } from '@jasmineroute/routing';

/** Retries that are shared by all entries together. */
export interface RetryAllowance {
  /** Retries for each request. */
  readonly share: number;
  /** Retries beyond that which all entries together may save up. */
  readonly slack: number;
}

/**
 * One budget for each service, as a failing one must not use up the retries of another. The slack is shared by the
 * entries that there are, so that all together stay within it.
 */
export class ServiceBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly entries: () => number,
  ) {}

  /** A first attempt for a service goes out. */
  deposit(service: string): void {
    this.of(service).deposit();
  }

  /** Takes a retry; false when the budget is spent. */
  withdraw(service: string): boolean {
    return this.of(service).withdraw();
  }

  private of(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const { share, slack } = this.allowance;
    const budget = new RetryBudget({ share, burst: Math.max(1, Math.floor(slack / this.entries())) });
    this.budgets.set(service, budget);
    return budget;
  }
}
