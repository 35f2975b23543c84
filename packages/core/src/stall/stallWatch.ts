/** Detects stalls of a process's event loop, and when the input that arrived during a stall has been read. */
import type { Clock } from '../clock/index.js';
import { AcceptBacklog } from './acceptBacklog.js';
import type { AcceptedSeries } from './acceptBacklog.js';
import { TurnQueue } from './turnQueue.js';

/** Interval between two checks of the clock, milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Delay of a check from which it counts as a stall, milliseconds. */
const MIN_STALL_MS = 100;

/**
 * Turns of the event loop between reading a request and knowing whether its sender has closed the connection meanwhile: the
 * end of the connection is read one turn later, and the runtime reports it in the two turns after that.
 */
const CATCH_UP_TURNS = 4;

/** Most turns until all pending connections are accepted: more than the system's backlog holds. */
const MAX_TURNS = 1_024;

/** A period in which the event loop did not run. */
export interface Stall {
  /** Monotonic time of the last check before the stall. */
  readonly from: number;
  readonly ms: number;
  /** Processor time that the process used since then, milliseconds: much less than `ms` if others had the processor. */
  readonly usedMs: number;
}

const US_PER_MS = 1_000;

/** Processor time of this process since its start, milliseconds. */
function processorTimeMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Watches the event loop of a process. After a stall, the first turns work with outdated state: connections that were closed
 * during the stall still look open. Code that starts work for a client therefore waits until all of it is read.
 */
export class StallWatch {
  /** Decides when the process handles requests. */
  readonly turns: TurnQueue;
  private readonly backlogs: AcceptBacklog[] = [];
  private lastCheckAt: number;
  /** Wall-clock time of the last check; needed because the monotonic clock may stop while a machine is suspended. */
  private lastWallTime: number;
  /** Processor time at the last check, milliseconds. */
  private lastProcessorMs: number;
  private stall: Stall | undefined;
  /** Earliest arrival time of input that is read now; kept until all input of the stall is read. */
  private from = 0;
  /** Consecutive turns in which no connection was accepted. */
  private turnsWithoutConnection = 0;
  private cancelTimer = (): void => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onStall: (stall: Stall) => void = () => undefined,
    private readonly processorMs: () => number = processorTimeMs,
    private readonly onSeries: (series: AcceptedSeries) => void = () => undefined,
  ) {
    this.lastCheckAt = clock.monotonic();
    this.lastWallTime = clock.now().getTime();
    this.lastProcessorMs = processorMs();
    this.turns = new TurnQueue(clock, () => this.backlogs.some(({ isWaiting }) => isWaiting));
  }

  /** Checks the clock regularly until `stop`. */
  start(): void {
    this.check();
    this.cancelTimer = this.clock.after(CHECK_INTERVAL_MS, () => {
      this.start();
    });
  }

  stop(): void {
    this.cancelTimer();
  }

  /** The last stall, until all input that arrived during it has been read; then undefined. */
  current(): Stall | undefined {
    this.check();
    return this.stall;
  }

  /** After a stall, resolves once closed connections are known for all requests read so far; otherwise at once. */
  async waitUntilCaughtUp(): Promise<void> {
    if (this.current() !== undefined) await this.waitForCloses();
  }

  /** Resolves once closed connections are known for all requests read so far. */
  async waitForCloses(): Promise<void> {
    for (let turns = 0; turns < CATCH_UP_TURNS; turns += 1) await nextTurn();
  }

  /** Monotonic time of the earliest possible arrival of input that is read now. */
  earliestArrival(): number {
    return this.current() === undefined ? this.clock.monotonic() : this.from;
  }

  /** What waits at a listener of the process. Each connection that it accepts is to be recorded there. */
  listener(name: string): AcceptBacklog {
    const backlog = new AcceptBacklog(name, this.clock, this.onSeries);
    this.backlogs.push(backlog);
    return backlog;
  }

  /** Records an accepted connection. The system hands over one in each turn, so after a stall more may be pending. */
  recordConnection(): void {
    this.turnsWithoutConnection = 0;
  }

  private check(): void {
    const now = this.clock.monotonic();
    const wallTime = this.clock.now().getTime();
    const from = this.lastCheckAt;
    const processorMs = this.processorMs();
    const usedMs = processorMs - this.lastProcessorMs;
    this.lastProcessorMs = processorMs;
    const ms = Math.max(now - from, wallTime - this.lastWallTime) - CHECK_INTERVAL_MS;
    this.lastCheckAt = now;
    this.lastWallTime = wallTime;
    if (ms < MIN_STALL_MS) return;
    const isFirst = this.stall === undefined;
    this.stall = { from, ms, usedMs };
    this.turnsWithoutConnection = 0;
    if (isFirst) {
      this.from = from;
      void this.readPending();
    }
    this.onStall(this.stall);
  }

  private async readPending(): Promise<void> {
    for (let turns = 0; this.turnsWithoutConnection < CATCH_UP_TURNS && turns < MAX_TURNS; turns += 1) {
      this.turnsWithoutConnection += 1;
      await nextTurn();
    }
    this.stall = undefined;
  }
}
