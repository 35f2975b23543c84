/** Retry budgets by service. */
import { RetryBudget } from '@jasmineroute/routing';

/** Retries allowed for all entries together. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly share: number;
  /** Additional retries that all entries together may save up. */
  readonly slack: number;
}

/**
 * One retry budget per service, so that a failing service can't use up the retries of another. The slack is divided
 * by the number of entries, so that all entries together stay within it.
 */
export class ServiceBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly entries: () => number,
  ) {}

  /** Records the first attempt of a request for a service. */
  deposit(service: string): void {
    this.budgetOf(service).deposit();
  }

  /** Takes a retry from the budget; false if it is exhausted. */
  withdraw(service: string): boolean {
    return this.budgetOf(service).withdraw();
  }

  private budgetOf(service: string): RetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const { share, slack } = this.allowance;
    const budget = new RetryBudget({ share, burst: Math.max(1, Math.floor(slack / this.entries())) });
    this.budgets.set(service, budget);
    return budget;
  }
}
