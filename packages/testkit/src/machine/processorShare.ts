/** Slow machines: processes that get a share of a core each, as under a quota of the operating system. */
import { readFileSync } from 'node:fs';
import { systemClock } from '@jasmineroute/core';

/** Time between two looks at what the processes have used, milliseconds. */
const LOOK_MS = 5;

/** Processor time that an idle process may save up, milliseconds of its share. */
const SAVED_MS = 20;

const NS_PER_MS = 1_000_000;

/** A process that is held to a share. */
export interface SharedProcess {
  readonly name: string;
  readonly running: boolean;
  readonly pid: number;
  /** Freezes it. */
  pause(): void;
  /** Lets it go on. */
  resume(): void;
}

interface Account {
  pid: number;
  /** Processor time that it has used, milliseconds. */
  usedMs: number;
  /** What it may still use, milliseconds; below 0 it is paused. */
  leftMs: number;
  isPaused: boolean;
}

/** Processor time of a process's first thread, milliseconds; undefined: it is gone. */
export function processorMsOf(pid: number): number | undefined {
  try {
    return Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[0]) / NS_PER_MS;
  } catch {
    return undefined;
  }
}

/** Pauses each process that has used more than its share, until `stop`. */
export class ProcessorShares {
  private readonly accounts = new Map<SharedProcess, Account>();
  private lookedAt = systemClock.monotonic();
  private callOff = (): void => undefined;

  /** @param shareOf the part of a core that a process gets. */
  constructor(private readonly shareOf: (process: SharedProcess) => number) {}

  /**
   * Holds the processes that are given, also those that start later. What the first ones have used before does not count: they
   * would all stand still until their shares had made up for it.
   */
  start(processes: () => Iterable<SharedProcess>): void {
    this.lookedAt = systemClock.monotonic();
    for (const process of processes()) this.open(process, 0);
    this.lookLater(processes);
  }

  private lookLater(processes: () => Iterable<SharedProcess>): void {
    this.callOff = systemClock.after(LOOK_MS, () => {
      this.look(processes);
    });
  }

  private look(processes: () => Iterable<SharedProcess>): void {
    const now = systemClock.monotonic();
    const passedMs = now - this.lookedAt;
    this.lookedAt = now;
    for (const process of processes()) this.hold(process, passedMs);
    this.lookLater(processes);
  }

  /** Lets all go on at full speed. */
  stop(): void {
    this.callOff();
    for (const process of this.accounts.keys()) process.resume();
    this.accounts.clear();
  }

  /** @param chargedPart part of what it has used that its share has to make up for. */
  private open(process: SharedProcess, chargedPart: 0 | 1): void {
    if (!process.running) return;
    const { pid } = process;
    const usedMs = processorMsOf(pid);
    if (usedMs === undefined) return;
    this.accounts.set(process, { pid, usedMs, leftMs: -usedMs * chargedPart, isPaused: false });
  }

  private hold(process: SharedProcess, passedMs: number): void {
    if (!process.running) return;
    const { pid } = process;
    const account = this.accounts.get(process);
    if (account?.pid !== pid) {
      this.open(process, 1);
      return;
    }
    const usedMs = processorMsOf(pid);
    if (usedMs === undefined) return;
    const share = this.shareOf(process);
    const leftMs = account.leftMs + passedMs * share - (usedMs - account.usedMs);
    account.usedMs = usedMs;
    account.leftMs = Math.min(SAVED_MS * share, leftMs);
    if (account.leftMs < 0 !== account.isPaused) this.toggle(process, account);
  }

  private toggle(process: SharedProcess, account: Account): void {
    account.isPaused = !account.isPaused;
    if (account.isPaused) process.pause();
    else process.resume();
  }
}
