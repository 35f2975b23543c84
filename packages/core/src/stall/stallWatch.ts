/** Tells when the event loop of a process stood still, and when it has read what came meanwhile. */
import type { Clock } from '../clock/index.js';

/** Pause between two looks at the clock, milliseconds. */
const LOOK_MS = 50;

/** A look that comes so much too late tells of a stall, milliseconds. */
const LEAST_STALL_MS = 100;

/**
 * Turns of the event loop after which all that arrived in a stall is read. The system hands a connection over in one turn, its
 * bytes in the next and its end in one more; the runtime tells of an end two turns later.
 */
const CATCH_UP_TURNS = 6;

/** Most turns of one catching up: where each turn takes as long as a stall, the process is slow and waiting helps nobody. */
const MOST_TURNS = 18;

/** A time in which a process did nothing. */
export interface Stall {
  /** Monotonic time at which the process was last seen at work. */
  readonly from: number;
  readonly ms: number;
}

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Watches the event loop of a process. After a stall the first turns act on what was true before it: connections that were
 * closed meanwhile still look open. Whoever starts something for somebody else waits for `caughtUp` before.
 */
export class StallWatch {
  private lookedAt: number;
  /** Wall-clock time of the last look: while a machine is suspended the monotonic clock may stand still. */
  private wallAt: number;
  private stall: Stall | undefined;
  private turnsLeft = 0;
  private catchingUp = Promise.resolve();
  private callOff = (): void => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onStall: (stall: Stall) => void = () => undefined,
  ) {
    this.lookedAt = clock.monotonic();
    this.wallAt = clock.now().getTime();
  }

  /** Looks at the clock regularly until `stop`. */
  start(): void {
    this.look();
    this.callOff = this.clock.after(LOOK_MS, () => {
      this.start();
    });
  }

  stop(): void {
    this.callOff();
  }

  /** Whether the loop stood still and has not read yet all that came meanwhile. */
  isBehind(): boolean {
    this.look();
    return this.stall !== undefined;
  }

  /** Resolves once all is read that came while the loop stood still; at once when it did not. */
  async caughtUp(): Promise<void> {
    if (this.isBehind()) await this.catchingUp;
  }

  /** Monotonic time before which nothing came that is read now. */
  readSince(): number {
    return this.isBehind() && this.stall !== undefined ? this.stall.from : this.clock.monotonic();
  }

  private look(): void {
    const now = this.clock.monotonic();
    const wall = this.clock.now().getTime();
    const from = this.lookedAt;
    const lateMs = Math.max(now - from, wall - this.wallAt) - LOOK_MS;
    this.lookedAt = now;
    this.wallAt = wall;
    if (lateMs < LEAST_STALL_MS) return;
    const stall = { from, ms: lateMs };
    this.onStall(stall);
    this.turnsLeft = CATCH_UP_TURNS;
    if (this.stall !== undefined) return;
    this.stall = stall;
    this.catchingUp = this.catchUp();
  }

  /** A stall on the way begins the turns anew; what is read may still have come since the first one. */
  private async catchUp(): Promise<void> {
    for (let turns = 0; this.turnsLeft > 0 && turns < MOST_TURNS; turns += 1) {
      this.turnsLeft -= 1;
      await turn();
    }
    this.stall = undefined;
  }
}
