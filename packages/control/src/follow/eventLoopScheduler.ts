/** Spreads work over iterations of the event loop. */

/**
 * From the highest priority to the lowest. Other control instances relay what they receive. A follower with earlier events
 * (`told`) needs only an update, and gives its stream up when nothing arrives. A new follower (`first`) needs a snapshot.
 */
const PRIORITIES = ['control', 'told', 'first'] as const;

/** Priority of a task. */
export type Priority = (typeof PRIORITIES)[number];

/** In every so many iterations the lowest priority comes first, so that no task starves. */
const REVERSED_ORDER_INTERVAL = 4;

/** Resumes one task in each iteration of the event loop, by priority, then in the order of arrival. */
export class EventLoopScheduler {
  private readonly waiting: Record<Priority, (() => void)[]> = { control: [], told: [], first: [] };
  private iterations = 0;

  /** Whether tasks are waiting. */
  get isBusy(): boolean {
    return Object.values(this.waiting).some((tasks) => tasks.length > 0);
  }

  /** Resolves when the caller may go on. */
  next(priority: Priority): Promise<void> {
    return new Promise((resolve) => {
      if (!this.isBusy) setImmediate(this.runNext);
      this.waiting[priority].push(resolve);
    });
  }

  private readonly runNext = (): void => {
    this.iterations += 1;
    const order = this.iterations % REVERSED_ORDER_INTERVAL === 0 ? PRIORITIES.toReversed() : PRIORITIES;
    const priority = order.find((one) => this.waiting[one].length > 0);
    if (priority !== undefined) this.waiting[priority].shift()?.();
    if (this.isBusy) setImmediate(this.runNext);
  };
}
