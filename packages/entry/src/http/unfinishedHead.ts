/** A head, or trailer fields, of which the HTTP parser holds a part. */
import { countedHeadBytes } from './head.js';
import type { Upload, Uploads } from './uploads.js';

const LINE_FEED = 0x0a;

function linesIn(piece: Uint8Array): number {
  let lines = 0;
  for (let at = piece.indexOf(LINE_FEED); at !== -1; at = piece.indexOf(LINE_FEED, at + 1)) lines += 1;
  return lines;
}

/**
 * Counts what the parser holds of one connection until a head or a part of a body is complete. It takes memory from no other: the parser
 * of one that gives way frees nothing before its connection is closed.
 */
export class UnfinishedHead implements Upload {
  /** Bytes that are reserved. */
  bytes = 0;
  activeAt: number;
  private readBytes = 0;
  private lines = 0;

  /** @param onGivenUp called when others need the memory. */
  constructor(
    private readonly uploads: Uploads,
    private readonly onGivenUp: () => void,
  ) {
    this.activeAt = uploads.clock.monotonic();
  }

  /** Bytes that were read of it. */
  get size(): number {
    return this.readBytes;
  }

  /** Adds a piece that completes nothing. @returns whether there is memory for it. */
  tryAdd(piece: Uint8Array): boolean {
    this.readBytes += piece.length;
    this.lines += linesIn(piece);
    this.activeAt = this.uploads.clock.monotonic();
    const more = countedHeadBytes(this.readBytes, this.lines) - this.bytes;
    if (more <= 0) return true;
    if (!this.uploads.budget.tryReserve(more)) return false;
    this.bytes += more;
    this.uploads.add(this);
    return true;
  }

  /** The parser holds nothing of it any more. */
  clear(): void {
    this.readBytes = 0;
    this.lines = 0;
    if (this.bytes > 0) this.uploads.budget.release(this.bytes);
    this.bytes = 0;
    this.uploads.remove(this);
  }

  readonly giveWay = (): void => {
    this.clear();
    this.onGivenUp();
  };
}
