/** Bytes that one process holds for its callers: bodies, requests that wait, and answers that are not sent. */

/** Limits a sum of bytes. A part of a budget has a limit of its own, and counts in the whole. */
export class MemoryBudget {
  private usedBytes = 0;

  constructor(
    readonly limitBytes: number,
    private readonly whole?: MemoryBudget,
  ) {}

  get bytes(): number {
    return this.usedBytes;
  }

  /** A budget of a share of this one. */
  part(share: number): MemoryBudget {
    return new MemoryBudget(this.limitBytes * share, this);
  }

  /** Reserves bytes. @returns false if a limit would be exceeded. */
  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.limitBytes) return false;
    if (this.whole?.tryReserve(bytes) === false) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
    this.whole?.release(bytes);
  }
}
