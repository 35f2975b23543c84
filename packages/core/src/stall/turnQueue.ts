/** Spreads the handling of requests over turns of the event loop, behind connections that wait to be accepted. */
import type { Clock } from '../clock/index.js';

/**
 * Time for which requests are handled in a row, milliseconds. The next turn then accepts a connection and reads what has
 * arrived, so that its length does not grow with the number of requests.
 */
const TURN_BUDGET_MS = 10;

/** Longest time for which a request waits for connections to be accepted, milliseconds. */
const MAX_ACCEPT_WAIT_MS = 100;

/** Most requests that one turn begins to handle. */
const MAX_PER_TURN = 32;

interface WaitingRequest {
  readonly begin: () => void;
  readonly since: number;
}

/** Decides when requests of a process are handled: at once while there is little to do, otherwise in their order. */
export class TurnQueue {
  private readonly waiting: WaitingRequest[] = [];
  /** Time at which the first request of the current turn was begun. */
  private turnStartedAt: number | undefined;
  private pendingSteps = 0;

  /** @param hasBacklog whether connections wait to be accepted. */
  constructor(
    private readonly clock: Clock,
    private readonly hasBacklog: () => boolean,
  ) {}

  /** Calls `begin` at once, or in a later turn of the event loop. */
  run(begin: () => void): void {
    if (this.waiting.length === 0 && this.hasTime() && !this.hasBacklog()) {
      this.startTurn();
      begin();
      return;
    }
    this.waiting.push({ begin, since: this.clock.monotonic() });
    this.schedule();
  }

  /** Resolves when the caller may go on. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }

  private hasTime(): boolean {
    return this.turnStartedAt === undefined || this.clock.monotonic() - this.turnStartedAt < TURN_BUDGET_MS;
  }

  private startTurn(): void {
    if (this.turnStartedAt !== undefined) return;
    this.turnStartedAt = this.clock.monotonic();
    setImmediate(() => {
      this.turnStartedAt = undefined;
    });
  }

  /** One step for each request, as promises settle only between steps. */
  private schedule(): void {
    if (this.pendingSteps > 0) return;
    this.pendingSteps = Math.min(this.waiting.length, MAX_PER_TURN);
    for (let step = 0; step < this.pendingSteps; step += 1) setImmediate(this.step);
  }

  private readonly step = (): void => {
    this.pendingSteps -= 1;
    const [first] = this.waiting;
    if (first !== undefined && this.hasTime() && this.isDue(first)) {
      this.waiting.shift();
      this.startTurn();
      first.begin();
    }
    if (this.waiting.length > 0) this.schedule();
  };

  private isDue({ since }: WaitingRequest): boolean {
    return !this.hasBacklog() || this.clock.monotonic() - since >= MAX_ACCEPT_WAIT_MS;
  }
}
