/** Spreads work over iterations of the event loop. */
import { TurnBudget } from '@jasmineroute/core';
import type { Clock } from '@jasmineroute/core';

/**
 * From the highest priority to the lowest. Other control instances relay what they receive. A follower with earlier events
 * (`told`) needs only an update, and gives its stream up when nothing arrives. A new follower (`first`) needs a snapshot.
 */
const PRIORITIES = ['control', 'told', 'first'] as const;

/** Priority of a task. */
export type Priority = (typeof PRIORITIES)[number];

/** Every so many tasks the lowest priority comes first, so that no task starves. */
const REVERSED_ORDER_INTERVAL = 4;

/** Resumes tasks by priority, then in the order of arrival, for a limited time in each iteration of the event loop. */
export class EventLoopScheduler {
  private readonly waiting: Record<Priority, (() => void)[]> = { control: [], told: [], first: [] };
  private readonly budget: TurnBudget;
  private resumed = 0;

  constructor(clock: Clock) {
    this.budget = new TurnBudget(clock);
  }

  /** Whether tasks are waiting. */
  get isBusy(): boolean {
    return this.count > 0;
  }

  /** Resolves when the caller may go on. */
  next(priority: Priority): Promise<void> {
    return new Promise((resolve) => {
      this.waiting[priority].push(resolve);
      this.budget.schedule(this.count, this.resumeNext);
    });
  }

  /** Number of waiting tasks. */
  private get count(): number {
    return PRIORITIES.reduce((sum, priority) => sum + this.waiting[priority].length, 0);
  }

  private readonly resumeNext = (): void => {
    if (this.budget.hasTime()) this.resume();
    if (this.isBusy) this.budget.schedule(this.count, this.resumeNext);
  };

  private resume(): void {
    this.resumed += 1;
    const order = this.resumed % REVERSED_ORDER_INTERVAL === 0 ? PRIORITIES.toReversed() : PRIORITIES;
    const priority = order.find((one) => this.waiting[one].length > 0);
    if (priority === undefined) return;
    this.budget.begin();
    this.waiting[priority].shift()?.();
  }
}
