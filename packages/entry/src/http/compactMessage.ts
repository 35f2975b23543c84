/** A request whose body is kept in few blocks, in however small parts it comes, and whose head can be dropped. */
import { IncomingMessage } from 'node:http';

/** Shortest and longest block, bytes. */
const FIRST_BLOCK_BYTES = 512;
const LONGEST_BLOCK_BYTES = 16_384;

/**
 * Copies the parts of the body into blocks before anybody reads them. Otherwise each part is an object of its own, which takes a
 * hundred times as much as a part of one byte holds, and keeps all that was read with it.
 */
export class CompactMessage extends IncomingMessage {
  private block: Buffer | undefined;
  /** Bytes of the block that are in use. */
  private filled = 0;
  private nextBlockBytes = FIRST_BLOCK_BYTES;
  private received = 0;
  private isDropped = false;

  /** Bytes of the body that were received so far. */
  get receivedBytes(): number {
    return this.received;
  }

  /** Bytes that are held for who reads it. */
  get heldBytes(): number {
    return this.readableLength + this.filled;
  }

  /** Keeps of the head only what tells the length of the body. */
  dropHead(): void {
    this.headers = { 'content-length': this.headers['content-length'] };
    this.rawHeaders = [];
  }

  /** Keeps nothing of the body from now on. */
  discard(): void {
    this.isDropped = true;
    this.block = undefined;
    this.filled = 0;
    this.resume();
  }

  /** Takes a part, or the end. @returns whether more should come before the body is read. */
  override push(part: Buffer | null): boolean {
    if (part !== null) return this.copy(part);
    // Trailer fields belong to the connection (RFC 9110, 6.5.1): nobody reads them.
    this.rawTrailers = [];
    this.pushBlock();
    return super.push(null);
  }

  private copy(part: Buffer): boolean {
    let isWanted = true;
    this.received += part.length;
    if (this.isDropped) return true;
    for (let from = 0; from < part.length;) {
      const block = (this.block ??= this.newBlock());
      const copied = part.copy(block, this.filled, from);
      from += copied;
      this.filled += copied;
      if (this.filled === block.length) isWanted = this.pushBlock() && isWanted;
    }
    return isWanted;
  }

  /** Blocks grow with the body, so that a short one takes little. */
  private newBlock(): Buffer {
    const bytes = this.nextBlockBytes;
    this.nextBlockBytes = Math.min(bytes * 2, LONGEST_BLOCK_BYTES);
    return Buffer.allocUnsafeSlow(bytes);
  }

  private pushBlock(): boolean {
    const { block, filled } = this;
    this.block = undefined;
    this.filled = 0;
    return block === undefined || super.push(block.subarray(0, filled));
  }
}
