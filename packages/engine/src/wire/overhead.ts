/** Bounds the bytes of an answer that are no part of its body: heads, chunk sizes and extensions, trailers. */
import type { Socket } from 'node:net';
import { fault } from '@jasmineroute/core';
import { FaultError } from './failure.js';

/** Overhead that every answer may have, bytes: a head of the largest size that is parsed, several times. */
const MAX_OVERHEAD_BYTES = 64 * 1024;

/** Overhead for each byte of the body: a chunk of one byte comes with five of its framing. */
const OVERHEAD_PER_BODY_BYTE = 16;

/** Maximum number of informational heads before the final one; common servers send one or two. */
export const MAX_INFORMATIONAL_HEADS = 10;

const readWatchers = new WeakMap<Socket, () => void>();

/** Lets reads of a socket be watched. Call this before the socket is read. */
export function watchReads(socket: Socket): void {
  const read = socket.read.bind(socket) as (size?: number) => unknown;
  socket.read = (size?: number): unknown => {
    readWatchers.get(socket)?.();
    return socket.destroyed ? null : read(size);
  };
}

/** Bytes of a socket that were parsed. */
const parsedBytes = (socket: Socket): number => socket.bytesRead - socket.readableLength;

/** Fault of an answer with bytes that belong to no answer. */
export const notAnAnswer = (message: string): FaultError =>
  new FaultError(fault('answer-mismatch', `the target sent ${message}`, { ran: 'may-have-run' }));

/**
 * Watches one answer on a socket. HTTP sets no bound to some of its parts, and a target in trouble may send them without end: a
 * parser reads on until the connection is closed, and the process does nothing else meanwhile.
 * @param bodyBytes bytes of the body so far.
 * @param onExceeded called before the next read once the bound is exceeded.
 * @returns a function that stops watching.
 */
export function watchOverhead(
  socket: Socket,
  bodyBytes: () => number,
  onExceeded: (error: FaultError) => void,
): () => void {
  const begin = parsedBytes(socket);
  const check = (): void => {
    const body = bodyBytes();
    const overhead = parsedBytes(socket) - begin - body;
    if (overhead <= MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body) return;
    onExceeded(notAnAnswer(`${overhead} bytes beside a body of ${body}`));
  };
  readWatchers.set(socket, check);
  return () => {
    if (readWatchers.get(socket) === check) readWatchers.delete(socket);
  };
}
