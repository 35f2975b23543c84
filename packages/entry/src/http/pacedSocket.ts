/** A caller's connection whose bytes are handed to the HTTP parser in small pieces. */
import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { ReadBuffers } from './readBuffers.js';

/** Bytes of a piece in which requests may begin: the parser makes all requests of a piece before any of them is looked at. */
const PIECE_BYTES = 1_024;

type Callback = (error?: Error | null) => void;

/** Part of a write that is held back with others. */
interface Write {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/** Decides how much of a connection is read. */
export interface Pace {
  /** Whether more is read now. */
  readonly mayRead: () => boolean;
  /** Bytes of the newest body that are yet to come, as far as that is known: no request begins among them. */
  readonly bodyBytesLeft: () => number;
}

/**
 * Stands between a connection and the HTTP parser. The parser takes a read of 64 KB as a whole, which may hold thousands of
 * requests, and makes objects of all of them; pausing the connection has no effect on them. What is not handed on stays in the
 * connection's buffer, and fills the window of the caller.
 */
export class PacedSocket extends Duplex {
  /** Whether the connection was reset, or ended with another error. */
  hadError = false;
  private pace: Pace = { mayRead: () => true, bodyBytesLeft: () => 0 };
  private isWanted = false;
  private isFeeding = false;

  constructor(
    private readonly raw: Socket,
    private readonly buffers: ReadBuffers,
  ) {
    super({ allowHalfOpen: true, decodeStrings: false });
    raw.on('readable', this.feed);
    raw.on('end', () => {
      this.push(null);
    });
    raw.on('timeout', () => this.emit('timeout'));
    raw.on('error', (error) => {
      this.hadError = true;
      this.destroy(error);
    });
    raw.on('close', () => {
      this.destroy();
    });
    // A reader that was paused goes on with what is here, for which no further event comes.
    this.on('resume', this.feed);
  }

  get bytesRead(): number {
    return this.raw.bytesRead;
  }

  get remoteAddress(): string | undefined {
    return this.raw.remoteAddress;
  }

  /** Bytes that were read and are not handed on. */
  get heldBytes(): number {
    return this.raw.readableLength + this.readableLength;
  }

  /** Bytes that the system has not taken. */
  get unsentBytes(): number {
    return this.raw.writableLength + this.writableLength;
  }

  setPace(pace: Pace): void {
    this.pace = pace;
  }

  /** Emits `timeout` after a time without any activity, milliseconds; 0: never. */
  setTimeout(ms: number): this {
    this.raw.setTimeout(ms);
    return this;
  }

  /** Ends this side when all is sent, and closes then. */
  destroySoon(): void {
    if (this.writableFinished) this.destroy();
    else this.end(() => this.destroy());
  }

  resetAndDestroy(): this {
    this.raw.resetAndDestroy();
    return this;
  }

  override _read(): void {
    this.isWanted = true;
    this.feed();
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, done: Callback): void {
    this.raw.write(chunk, encoding, done);
  }

  override _writev(writes: Write[], done: Callback): void {
    const last = writes.length - 1;
    this.raw.cork();
    for (const [at, { chunk, encoding }] of writes.entries())
      this.raw.write(chunk, encoding, at === last ? done : undefined);
    this.raw.uncork();
  }

  override _final(done: Callback): void {
    this.raw.end(done);
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    const { raw } = this;
    if (raw.closed) {
      done(error);
      return;
    }
    raw.once('close', () => {
      done(error);
    });
    raw.destroy();
  }

  /** Hands on what may be read, piece by piece: each may change whether the next one may. */
  readonly feed = (): void => {
    if (this.isFeeding) return;
    this.isFeeding = true;
    try {
      while (this.isWanted && !this.isPaused() && this.pace.mayRead()) {
        const piece = this.nextPiece();
        if (piece === null) return;
        this.buffers.record(piece.length);
        this.isWanted = this.push(piece);
      }
    } finally {
      this.isFeeding = false;
    }
  };

  private nextPiece(): Buffer | null {
    const { raw } = this;
    const most = Math.max(PIECE_BYTES, this.pace.bodyBytesLeft());
    // Without data in the buffer, the read of none of it makes the connection read on.
    return raw.read(Math.min(most, raw.readableLength)) as Buffer | null;
  }
}
