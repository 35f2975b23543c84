/** The head of a request: read when it arrives, and counted in the memory for callers until the request has its answer. */
import type { IncomingMessage } from 'node:http';
import type { Fault } from '@jasmineroute/core';
import { CompactMessage, countedHeadBytes, noMemoryForHead } from '@jasmineroute/entry';
import type { HeldHead } from '@jasmineroute/entry';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RelayRequest } from '../dialect/index.js';
import type { RelayContext } from './context.js';

/** A head that was read. */
export interface RequestHead {
  readonly id?: string;
  readonly request: Result<RelayRequest, Fault>;
  /** Undefined: nothing is held of it, as it is not valid, or there is no memory for it. */
  readonly held?: HeldHead;
}

/** Takes the head out of a request. What is held of it must be released. */
export function takeHead(
  { dialect, uploads }: Pick<RelayContext, 'dialect' | 'uploads'>,
  incoming: IncomingMessage,
): RequestHead {
  const request = dialect.readRequest(incoming);
  if (incoming instanceof CompactMessage) incoming.dropHead();
  if (request.isErr()) return { request };
  const { id, fields } = request.value;
  const held = uploads.holdHead(countedHeadBytes(fields.bytes, fields.count));
  return held === undefined ? { id, request: err(noMemoryForHead()) } : { id, request, held };
}
