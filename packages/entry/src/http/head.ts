/** Sizes of request heads. */
import type { IncomingMessage } from 'node:http';

/** Number of fields and bytes of a head that count as memory of the connection itself. */
const ORDINARY_FIELDS = 64;
const ORDINARY_BYTES = 4_096;

/** What a field takes in memory while it is read or written, beside its bytes: two strings, and their places in lists. */
const FIELD_BYTES = 100;

/** Bytes of the request line beside method and target, of a field beside name and value, and of the line behind the last one. */
const REQUEST_LINE_BYTES = 12;
const FIELD_LINE_BYTES = 3;
const LAST_LINE_BYTES = 2;

/** Bytes of a head as it was sent, without white space that means nothing. */
export function headBytesOf({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const line = method.length + url.length + REQUEST_LINE_BYTES;
  const fields = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return line + fields + (rawHeaders.length / 2) * FIELD_LINE_BYTES + LAST_LINE_BYTES;
}

/** Bytes to count for a head, or a part of one. */
export const countedHeadBytes = (bytes: number, fields: number): number =>
  Math.max(0, bytes - ORDINARY_BYTES) + Math.max(0, fields - ORDINARY_FIELDS) * FIELD_BYTES;
