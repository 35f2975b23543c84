/** Lets some tasks through at a time. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from './changeSignal.js';

/** A bounded number of holders; the others wait. */
export class Turnstile {
  private held = 0;
  private readonly freed = new ChangeSignal();

  constructor(private readonly limit: number) {}

  /** Takes a place if one is free. */
  enter(): boolean {
    if (this.held >= this.limit) return false;
    this.held += 1;
    return true;
  }

  /** Gives a place back. */
  leave(): void {
    this.held -= 1;
    this.freed.raise();
  }

  /** Resolves when a place may be free, after `ms` milliseconds, or when `signal` is aborted. */
  wait(clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    return this.freed.wait(clock, ms, signal);
  }
}
