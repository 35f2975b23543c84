/** Reads request bodies with a limit for each body and for all bodies together. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { tooLarge } from '../call/index.js';
import type { MemoryBudget } from './memoryBudget.js';

/** A buffered body, and the function that releases its reserved bytes. */
export interface HeldBody {
  readonly bytes: Uint8Array;
  readonly release: () => void;
}

/** Reads a complete body of at most `limit` bytes. */
export async function readBody(
  incoming: IncomingMessage,
  limit: number,
  budget: MemoryBudget,
): Promise<Result<HeldBody, Fault>> {
  const contentLength = Number(incoming.headers['content-length'] ?? 0);
  if (contentLength > limit) return err(tooLarge(limit));
  const parts: Buffer[] = [];
  let size = 0;
  const release = (): void => {
    budget.release(size);
    size = 0;
  };
  try {
    for await (const part of incoming as AsyncIterable<Buffer>) {
      if (!budget.tryReserve(part.length)) {
        release();
        return err(fault('overloaded', 'this entry is buffering too many request bodies'));
      }
      size += part.length;
      if (size > limit) {
        release();
        return err(tooLarge(limit));
      }
      parts.push(part);
    }
  } catch (cause) {
    release();
    return err(fault('invalid-request', 'the connection closed before the request was complete', { cause }));
  }
  return ok({
    bytes: parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts),
    release,
  });
}
