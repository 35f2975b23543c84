/** Tells when the event loop of a process stood still, and when it has read what came meanwhile. */
import type { Clock } from '../clock/index.js';

/** Pause between two looks at the clock, milliseconds. */
const LOOK_MS = 100;

/** A look that comes so much too late tells of a stall, milliseconds. */
const LEAST_STALL_MS = 100;

/**
 * Turns of the event loop from the reading of a request to the moment at which it is known whether its sender has closed the
 * connection meanwhile: the end is read one turn later, and the runtime tells of it in the two that follow.
 */
const CATCH_UP_TURNS = 4;

/** Most turns until all connections are taken that wait: more than the system lets wait. */
const MOST_TURNS = 1_024;

/** A time in which a process did nothing. */
export interface Stall {
  /** Monotonic time at which the process was last seen at work. */
  readonly from: number;
  readonly ms: number;
  /** Processor time that the process used since then, milliseconds: much less than it lasted when others had the processor. */
  readonly usedMs: number;
}

const US_PER_MS = 1_000;

/** Processor time of this process since its start, milliseconds. */
function ownProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
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
  /** Processor time at the last look, milliseconds. */
  private usedAt: number;
  private stall: Stall | undefined;
  /** Where what is read now may have come since; kept while the stall lasts. */
  private from = 0;
  /** Turns in a row in which no connection was taken. */
  private quietTurns = 0;
  private callOff = (): void => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onStall: (stall: Stall) => void = () => undefined,
    private readonly processorMs: () => number = ownProcessorMs,
  ) {
    this.lookedAt = clock.monotonic();
    this.wallAt = clock.now().getTime();
    this.usedAt = processorMs();
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

  /** The last stall, until all is read that came while it lasted. */
  current(): Stall | undefined {
    this.look();
    return this.stall;
  }

  /** After a stall, resolves once it is known which connections were closed of those that are read by now; else at once. */
  async caughtUp(): Promise<void> {
    if (this.current() === undefined) return;
    for (let turns = 0; turns < CATCH_UP_TURNS; turns += 1) await turn();
  }

  /** Monotonic time before which nothing came that is read now. */
  readSince(): number {
    return this.current() === undefined ? this.clock.monotonic() : this.from;
  }

  /** A connection was taken. The system hands over one in each turn, so after a stall others may wait. */
  noteConnection(): void {
    this.quietTurns = 0;
  }

  private look(): void {
    const now = this.clock.monotonic();
    const wall = this.clock.now().getTime();
    const from = this.lookedAt;
    const used = this.processorMs();
    const usedMs = used - this.usedAt;
    this.usedAt = used;
    const ms = Math.max(now - from, wall - this.wallAt) - LOOK_MS;
    this.lookedAt = now;
    this.wallAt = wall;
    if (ms < LEAST_STALL_MS) return;
    const isFirst = this.stall === undefined;
    this.stall = { from, ms, usedMs };
    this.quietTurns = 0;
    if (isFirst) {
      this.from = from;
      void this.readAll();
    }
    this.onStall(this.stall);
  }

  private async readAll(): Promise<void> {
    for (let turns = 0; this.quietTurns < CATCH_UP_TURNS && turns < MOST_TURNS; turns += 1) {
      this.quietTurns += 1;
      await turn();
    }
    this.stall = undefined;
  }
}
