/** Proposed commands and their outcomes. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Result of a command, or the reason of its failure. */
export type Outcome = Result<Uint8Array, Fault>;

/** A command that waits to be appended to the log. */
export interface Proposal {
  readonly command: Uint8Array;
  readonly settle: (outcome: Outcome) => void;
}

/** The proposer of a command in the log that is not applied yet. */
interface Waiter {
  readonly term: bigint;
  readonly settle: (outcome: Outcome) => void;
}

/** Outcome of a command that was not appended to any log that can still win. */
export const notWritten = (reason: string): Outcome => err(fault('not-leader', reason, { ran: 'not-run' }));

/** Outcome of a command that may still be committed. */
export const unknownOutcome = (reason: string, cause?: unknown): Outcome =>
  err(fault('no-quorum', reason, { ran: 'may-have-run', cause }));

/** Proposers that wait for commands in the log, by index. */
export class Waiters {
  private readonly waiting = new Map<bigint, Waiter>();
  /** Proposers of commands that may be on this replica's disk, but in no log. */
  private unwritten: Proposal['settle'][] = [];

  add(index: bigint, term: bigint, settle: (outcome: Outcome) => void): void {
    this.waiting.set(index, { term, settle });
  }

  /**
   * Settles the command at an applied index. If the entry is of another term, it has replaced the command for good, as entries
   * with the same index and different terms are never both committed.
   */
  applied(index: bigint, term: bigint, result: Uint8Array): void {
    const waiter = this.waiting.get(index);
    if (waiter === undefined) return;
    this.waiting.delete(index);
    const isOurs = waiter.term === term;
    waiter.settle(isOurs ? ok(result) : notWritten('an entry of another leader replaced the command'));
  }

  /** Settles the commands up to `index` after a snapshot replaced these entries, which leaves their outcome unknown. */
  skippedTo(index: bigint): void {
    for (const [waitingIndex, waiter] of this.waiting) {
      if (waitingIndex > index) continue;
      this.waiting.delete(waitingIndex);
      waiter.settle(unknownOutcome('a snapshot replaced the log entry of the command'));
    }
  }

  /**
   * Waits for a command whose write failed, of which a part may have stayed on the disk. It was sent to no other replica, so its
   * outcome is decided here.
   */
  addUnwritten(settle: Proposal['settle']): void {
    this.unwritten.push(settle);
  }

  /** Settles these commands once the disk holds the log and nothing else. */
  storageRecovered(): void {
    const settles = this.unwritten;
    this.unwritten = [];
    for (const settle of settles) settle(notWritten('the command was removed from the disk'));
  }

  /** Settles all commands when the replica closes. */
  close(): void {
    for (const settle of this.unwritten) settle(unknownOutcome('the replica was closed'));
    this.unwritten = [];
    for (const waiter of this.waiting.values()) waiter.settle(unknownOutcome('the replica was closed'));
    this.waiting.clear();
  }
}
