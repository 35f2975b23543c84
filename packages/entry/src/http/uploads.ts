/** Bodies that are being read, and which of them gives way when there is no memory for all. */
import type { Clock } from '@jasmineroute/core';
import type { MemoryBudget } from './memoryBudget.js';

/** Time without a byte after which a body gives way to any other, milliseconds. */
const STALLED_MS = 1_000;

/** One body that is being read. */
export interface Upload {
  /** Bytes that are held of it. */
  readonly bytes: number;
  /** Monotonic time of its newest bytes. */
  readonly activeAt: number;
  /** Gives up the rest of it, and releases what is held. */
  readonly giveWay: () => void;
}

/** The bodies that one process reads at the moment. */
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
   * Reserves bytes for a body. Where none are left, others give way: first those that come to a halt, then those that are larger, so
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

  private nextToGiveWay(upload: Upload, neededBytes: number): Upload | undefined {
    const others = [...this.open].filter((other) => other !== upload && other.bytes > 0);
    const stalledSince = this.clock.monotonic() - STALLED_MS;
    const stalled = others.filter(({ activeAt }) => activeAt < stalledSince);
    const [largest] = (stalled.length > 0 ? stalled : others).sort((a, b) => b.bytes - a.bytes);
    if (largest === undefined) return undefined;
    return stalled.length > 0 || largest.bytes > neededBytes ? largest : undefined;
  }
}
