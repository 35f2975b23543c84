/** Spreads work over turns of the event loop. */

/**
 * What comes before what: other control instances pass on what they are told; a follower that was told already costs little,
 * and gives its stream up when it hears nothing; one that knows nothing yet is told everything.
 */
const URGENCIES = ['control', 'told', 'first'] as const;

/** What a turn is asked for. */
export type Urgency = (typeof URGENCIES)[number];

/**
 * Turns of the event loop from one task to the next. An entry of the log is read, written, synced and answered in a turn each,
 * so it is as late as the tasks between them are long; an empty turn costs next to nothing.
 */
const TURNS_BETWEEN = 4;

/** One task of so many is the least urgent that waits, so that nothing waits for ever. */
const TASKS_EACH = 4;

/** Lets one task go on in some turns of the event loop, the urgent ones first, else in the order in which they came. */
export class Pacer {
  private readonly waiting: Record<Urgency, (() => void)[]> = { control: [], told: [], first: [] };
  private tasks = 0;
  private isRunning = false;

  /** Whether a task that asks now waits for others. */
  get isBusy(): boolean {
    return Object.values(this.waiting).some((tasks) => tasks.length > 0);
  }

  /** Resolves when it is the caller's turn. */
  next(urgency: Urgency): Promise<void> {
    return new Promise((resolve) => {
      this.waiting[urgency].push(resolve);
      if (!this.isRunning) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.isBusy) {
      for (let turns = 0; turns < TURNS_BETWEEN; turns += 1) await turn();
      this.pass();
    }
    this.isRunning = false;
  }

  private pass(): void {
    this.tasks += 1;
    const order = this.tasks % TASKS_EACH === 0 ? URGENCIES.toReversed() : URGENCIES;
    const urgency = order.find((one) => this.waiting[one].length > 0);
    if (urgency !== undefined) this.waiting[urgency].shift()?.();
  }
}

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });
