/** Commands on their way through the log, and what is known of each when it fails. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Result of a command, or why there is none. */
export type Outcome = Result<Uint8Array, Fault>;

/** A command that waits for its place in the log. */
export interface Proposal {
  readonly command: Uint8Array;
  readonly settle: (outcome: Outcome) => void;
}

/** A command in the log that waits to be applied. */
interface Waiter {
  readonly term: bigint;
  readonly settle: (outcome: Outcome) => void;
}

/** The command was not written anywhere. */
export const notWritten = (reason: string): Outcome => err(fault('not-leader', reason, { ran: 'not-run' }));

/** The command may be in logs that can still win. */
export const unknownOutcome = (reason: string, cause?: unknown): Outcome =>
  err(fault('no-quorum', reason, { ran: 'may-have-run', cause }));

/** Commands in the log, by index. */
export class Waiters {
  private readonly waiting = new Map<bigint, Waiter>();

  add(index: bigint, term: bigint, settle: (outcome: Outcome) => void): void {
    this.waiting.set(index, { term, settle });
  }

  /**
   * An entry was applied. When it is of another term, the command that waited here lost its place to it for
   * good: entries of one index and different terms are never both committed.
   */
  applied(index: bigint, term: bigint, result: Uint8Array): void {
    const waiter = this.waiting.get(index);
    if (waiter === undefined) return;
    this.waiting.delete(index);
    const isOurs = waiter.term === term;
    waiter.settle(isOurs ? ok(result) : notWritten('another leader replaced the command'));
  }

  /** A snapshot took the place of the entries up to `index`: what became of commands there is not told. */
  skippedTo(index: bigint): void {
    for (const [waitingIndex, waiter] of this.waiting) {
      if (waitingIndex > index) continue;
      this.waiting.delete(waitingIndex);
      waiter.settle(unknownOutcome('a snapshot covers the command'));
    }
  }

  /** The replica closes. */
  close(): void {
    for (const waiter of this.waiting.values()) waiter.settle(unknownOutcome('the replica closed'));
    this.waiting.clear();
  }
}
