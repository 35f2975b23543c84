/** Requests that are being read, and which of them gives way when there is no memory for all. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { MemoryBudget } from './memoryBudget.js';

/** Time without a byte after which a body gives way to any other, milliseconds. */
const STALLED_MS = 1_000;

/** Time after which a head for which there is no memory may come again, milliseconds: what has stalled by then gives way to it. */
const HEAD_RETRY_MS = STALLED_MS;

/** The fault of a request whose head can't be held. */
export const noMemoryForHead = (): Fault =>
  fault('overloaded', 'this entry is holding too many request heads', { retryAfterMs: HEAD_RETRY_MS });

/** One body, or large head, that is being read. */
export interface Upload {
  /** Bytes that are held of it. */
  readonly bytes: number;
  /** Monotonic time of its newest bytes. */
  readonly activeAt: number;
  /** Gives up the rest of it, and releases what is held. */
  readonly giveWay: () => void;
}

/** The bytes that are counted for the head of a request. */
export class HeldHead {
  /** @param bytes 0 once they are released. */
  constructor(
    private readonly budget: MemoryBudget,
    public bytes: number,
  ) {}

  release(): void {
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}

/** What one process reads at the moment. */
export class Uploads {
  private readonly open = new Set<Upload>();

  constructor(
    readonly budget: MemoryBudget,
    readonly clock: Clock,
  ) {}

  add(upload: Upload): void {
    this.open.add(upload);
  }

  /** Ends the account of a body that is whole, or was given up. */
  remove(upload: Upload): void {
    this.open.delete(upload);
  }

  /**
   * Reserves bytes for one. Where none are left, others give way: first those that come to a halt, then those that are larger, so
   * that a caller who holds much does not keep out the next one. @returns whether they are reserved.
   */
  reserve(upload: Upload, bytes: number): boolean {
    while (!this.budget.tryReserve(bytes)) {
      const other = this.nextToGiveWay(upload, upload.bytes + bytes);
      if (other === undefined) return false;
      other.giveWay();
    }
    return true;
  }

  /** Counts bytes for a head until it is released. @returns undefined: there is no memory for it. */
  holdHead(bytes: number): HeldHead | undefined {
    const activeAt = this.clock.monotonic();
    if (!this.reserve({ bytes: 0, activeAt, giveWay: () => undefined }, bytes)) return undefined;
    return new HeldHead(this.budget, bytes);
  }

  private nextToGiveWay(upload: Upload, neededBytes: number): Upload | undefined {
    const others = [...this.open].filter((other) => other !== upload && other.bytes > 0);
    const stalledSince = this.clock.monotonic() - STALLED_MS;
    const stalled = others.filter(({ activeAt }) => activeAt < stalledSince);
    const [largest] = (stalled.length > 0 ? stalled : others).sort((a, b) => b.bytes - a.bytes);
    if (largest === undefined) return undefined;
    return stalled.length > 0 || largest.bytes > neededBytes ? largest : undefined;
  }
}
