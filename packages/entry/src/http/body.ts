/** Reads request bodies with a limit for each body and for all bodies together. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { tooLarge } from '../call/index.js';
import { CompactMessage } from './compactMessage.js';
import type { HeldHead, Upload, Uploads } from './uploads.js';

/** A buffered body, and the function that releases its reserved bytes. */
export interface HeldBody {
  readonly bytes: Uint8Array;
  readonly release: () => void;
}

const outOfMemory = (): Fault => fault('overloaded', 'this entry is buffering too many request bodies');

/** The reading of one body. */
class BodyReader implements Upload {
  activeAt: number;
  private bodyBytes = 0;
  private parts: Buffer[] = [];
  private settle: (result: Result<HeldBody, Fault>) => void = () => undefined;

  constructor(
    private readonly incoming: IncomingMessage,
    private readonly limit: number,
    private readonly uploads: Uploads,
    private readonly head: HeldHead | undefined,
  ) {
    this.activeAt = uploads.clock.monotonic();
  }

  /** Bytes that are held of the request. */
  get bytes(): number {
    return this.bodyBytes + (this.head?.bytes ?? 0);
  }

  read(): Promise<Result<HeldBody, Fault>> {
    const { incoming } = this;
    return new Promise((resolve) => {
      this.settle = resolve;
      this.uploads.add(this);
      incoming.on('data', this.take).on('end', this.finish).on('error', this.fail).on('close', this.fail);
      if (incoming.destroyed) this.fail();
    });
  }

  readonly giveWay = (): void => {
    this.giveUp(outOfMemory());
  };

  private readonly take = (part: Buffer): void => {
    if (this.bodyBytes + part.length > this.limit) this.giveUp(tooLarge(this.limit));
    else if (this.hold(part.length)) this.keep(part);
  };

  private keep(part: Buffer): void {
    this.activeAt = this.uploads.clock.monotonic();
    this.parts.push(part);
  }

  private readonly finish = (): void => {
    const { parts } = this;
    const [only] = parts;
    const isWhole = parts.length === 1 && only !== undefined;
    const whole = isWhole ? only : Buffer.concat(parts);
    this.uploads.remove(this);
    this.stopListening();
    this.settle(
      ok({
        bytes: whole,
        release: () => {
          this.releaseBody();
        },
      }),
    );
  };

  private readonly fail = (cause?: unknown): void => {
    this.giveUp(fault('invalid-request', 'the connection closed before the request was complete', { cause }));
  };

  /** Reserves bytes; without them the body is given up. */
  private hold(bytes: number): boolean {
    const isReserved = this.uploads.reserve(this, bytes);
    if (isReserved) this.bodyBytes += bytes;
    else this.giveUp(outOfMemory());
    return isReserved;
  }

  private giveUp(problem: Fault): void {
    this.stopListening();
    this.uploads.remove(this);
    this.parts = [];
    this.releaseBody();
    this.head?.release();
    // What still comes is dropped, until the connection ends behind the answer.
    if (this.incoming instanceof CompactMessage) this.incoming.discard();
    else this.incoming.resume();
    this.settle(err(problem));
  }

  private releaseBody(): void {
    const { bodyBytes } = this;
    this.bodyBytes = 0;
    this.uploads.budget.release(bodyBytes);
  }

  private stopListening(): void {
    const { incoming } = this;
    incoming.off('data', this.take).off('end', this.finish).off('error', this.fail).off('close', this.fail);
    // An error that comes later is that of a connection that has ended.
    incoming.on('error', () => undefined);
  }
}

/** Reads a complete body of at most `limit` bytes. `head` is released when it is given up. */
export async function readBody(
  incoming: IncomingMessage,
  limit: number,
  uploads: Uploads,
  head?: HeldHead,
): Promise<Result<HeldBody, Fault>> {
  const contentLength = Number(incoming.headers['content-length'] ?? 0);
  if (contentLength > limit) return err(tooLarge(limit));
  return new BodyReader(incoming, limit, uploads, head).read();
}
