/** Spreads the handling of requests over turns of the event loop, behind connections that wait to be accepted. */
import type { Clock } from '../clock/index.js';
import { TurnBudget } from './turnBudget.js';

/** Longest time for which a request waits for connections to be accepted, milliseconds. */
const MAX_ACCEPT_WAIT_MS = 100;

interface WaitingRequest {
  readonly begin: () => void;
  readonly since: number;
}

/** Decides when requests of a process are handled: at once while there is little to do, otherwise in their order. */
export class TurnQueue {
  private readonly waiting: WaitingRequest[] = [];
  private readonly budget: TurnBudget;

  /** @param hasBacklog whether connections wait to be accepted. */
  constructor(
    private readonly clock: Clock,
    private readonly hasBacklog: () => boolean,
  ) {
    this.budget = new TurnBudget(clock);
  }

  /** Calls `begin` at once, or in a later turn of the event loop. */
  run(begin: () => void): void {
    if (this.waiting.length === 0 && this.budget.hasTime() && !this.hasBacklog()) {
      this.budget.begin();
      begin();
      return;
    }
    this.waiting.push({ begin, since: this.clock.monotonic() });
    this.budget.schedule(this.waiting.length, this.step);
  }

  /** Resolves when the caller may go on. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }

  private readonly step = (): void => {
    const [first] = this.waiting;
    if (first !== undefined && this.budget.hasTime() && this.isDue(first)) {
      this.waiting.shift();
      this.budget.begin();
      first.begin();
    }
    if (this.waiting.length > 0) this.budget.schedule(this.waiting.length, this.step);
  };

  private isDue({ since }: WaitingRequest): boolean {
    return !this.hasBacklog() || this.clock.monotonic() - since >= MAX_ACCEPT_WAIT_MS;
  }
}
