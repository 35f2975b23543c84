/** Holds an answer until it is complete, so that another attempt can replace one that breaks off. */
import type { MemoryBudget } from '@jasmineroute/entry';

/** Largest answer that is held, bytes. */
export const MAX_HELD_ANSWER_BYTES = 256 * 1024;

/** Share of the memory for callers that is held for all answers together; what comes beyond that is sent as it comes. */
export const HELD_ANSWERS_SHARE = 0.25;

/** The held part of one answer. */
export class AnswerBuffer {
  private readonly chunks: Uint8Array[] = [];
  private size = 0;

  /** @param budget shared by all answers. */
  constructor(private readonly budget: MemoryBudget) {}

  /** Holds a chunk. @returns false if the answer would become too large, or all held answers together. */
  tryAdd(chunk: Uint8Array): boolean {
    if (this.size + chunk.length > MAX_HELD_ANSWER_BYTES || !this.budget.tryReserve(chunk.length))
      return false;
    this.chunks.push(chunk);
    this.size += chunk.length;
    return true;
  }

  /** Returns what is held. It counts as held until `release`. */
  take(): Uint8Array {
    return Buffer.concat(this.chunks.splice(0));
  }

  /** Drops what is held. */
  readonly release = (): void => {
    this.budget.release(this.size);
    this.chunks.length = 0;
    this.size = 0;
  };
}
