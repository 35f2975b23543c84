/** Reads request bodies with a limit for each body and for all bodies together. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { tooLarge } from '../call/index.js';
import { CompactMessage } from './compactMessage.js';
import type { Upload, Uploads } from './uploads.js';

/** A buffered body, and the function that releases its reserved bytes. */
export interface HeldBody {
  readonly bytes: Uint8Array;
  readonly release: () => void;
}

const outOfMemory = (): Fault => fault('overloaded', 'this entry is buffering too many request bodies');

/** The reading of one body. */
class BodyReader implements Upload {
  bytes = 0;
  activeAt: number;
  private parts: Buffer[] = [];
  private settle: (result: Result<HeldBody, Fault>) => void = () => undefined;

  constructor(
    private readonly incoming: IncomingMessage,
    private readonly limit: number,
    private readonly uploads: Uploads,
  ) {
    this.activeAt = uploads.clock.monotonic();
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
    if (this.bytes + part.length > this.limit) this.giveUp(tooLarge(this.limit));
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
          this.release(this.bytes);
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
    if (isReserved) this.bytes += bytes;
    else this.giveUp(outOfMemory());
    return isReserved;
  }

  private giveUp(problem: Fault): void {
    this.stopListening();
    this.uploads.remove(this);
    this.parts = [];
    this.release(this.bytes);
    // What still comes is dropped, until the connection ends behind the answer.
    if (this.incoming instanceof CompactMessage) this.incoming.discard();
    else this.incoming.resume();
    this.settle(err(problem));
  }

  private release(bytes: number): void {
    this.bytes -= bytes;
    this.uploads.budget.release(bytes);
  }

  private stopListening(): void {
    const { incoming } = this;
    incoming.off('data', this.take).off('end', this.finish).off('error', this.fail).off('close', this.fail);
    // An error that comes later is that of a connection that has ended.
    incoming.on('error', () => undefined);
  }
}

/** Reads a complete body of at most `limit` bytes. */
export async function readBody(
  incoming: IncomingMessage,
  limit: number,
  uploads: Uploads,
): Promise<Result<HeldBody, Fault>> {
  const contentLength = Number(incoming.headers['content-length'] ?? 0);
  if (contentLength > limit) return err(tooLarge(limit));
  return new BodyReader(incoming, limit, uploads).read();
}
