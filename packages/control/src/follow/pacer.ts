/** Spreads work over turns of the event loop. */

/**
 * What comes before what: other control instances pass on what they are told; a follower that was told already costs little,
 * and gives its stream up when it hears nothing; one that knows nothing yet is told everything.
 */
const URGENCIES = ['control', 'told', 'first'] as const;

/** What a turn is asked for. */
export type Urgency = (typeof URGENCIES)[number];

/** One turn of so many goes to the least urgent that waits, so that nothing waits for ever. */
const TURNS_EACH = 4;

/** Lets one task go on in each turn of the event loop, the urgent ones first, else in the order in which they came. */
export class Pacer {
  private readonly waiting: Record<Urgency, (() => void)[]> = { control: [], told: [], first: [] };
  private turns = 0;

  /** Whether a task that asks now waits for others. */
  get isBusy(): boolean {
    return Object.values(this.waiting).some((tasks) => tasks.length > 0);
  }

  /** Resolves when it is the caller's turn. */
  next(urgency: Urgency): Promise<void> {
    return new Promise((resolve) => {
      if (!this.isBusy) setImmediate(this.pass);
      this.waiting[urgency].push(resolve);
    });
  }

  private readonly pass = (): void => {
    this.turns += 1;
    const order = this.turns % TURNS_EACH === 0 ? URGENCIES.toReversed() : URGENCIES;
    const urgency = order.find((one) => this.waiting[one].length > 0);
    if (urgency !== undefined) this.waiting[urgency].shift()?.();
    if (this.isBusy) setImmediate(this.pass);
  };
}
