/** HTTP requests and answers. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HeaderField } from '../port/index.js';
import { brokenStreamFault } from './failure.js';

/** Header fields of a request: by name, or names and values by turns, where a name may come more than once. */
export type WireHeaders = Readonly<Record<string, string>> | string[];

/** An HTTP request. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: WireHeaders;
  readonly body?: Uint8Array;
  /** Longest silence before the answer's head, milliseconds; absent: bounded by the signal only. */
  readonly headSilenceMs?: number;
  /** Longest silence inside the answer's body, milliseconds; absent: bounded by the signal only. */
  readonly bodySilenceMs?: number;
  /** Called right before the first byte is written, with the connection in hand. A returned fault keeps it unwritten. */
  readonly beforeSend?: () => Fault | undefined;
}

/** An HTTP answer. Its body can be read once. */
export interface WireAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: AsyncIterable<Uint8Array>;
  /** Whether the message has a length or chunked encoding, so that its end differs from a lost connection. */
  readonly isFramed: boolean;
  /** Monotonic time by which the connection was open, milliseconds: all of its answers are of the process that took it then. */
  readonly connectedAt: number;
  /** Discards the answer and destroys its connection. */
  abandon(): void;
}

/** Headers in the form of undici. */
export type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Headers as a list. */
export function fieldsOf(headers: RawHeaders): HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((single) => ({ name, value: single }));
  });
}

/** Whether a body has a length. Otherwise it ends when the connection closes, also when that was lost. */
export function isFramed(method: string, status: number, headers: RawHeaders): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** The first value of a header, name in lower case. */
export function headerOf(headers: readonly HeaderField[], name: string): string | undefined {
  return headers.find((header) => header.name === name)?.value;
}

/** Reads a complete body of at most `limit` bytes. */
export async function readWhole(answer: WireAnswer, limit: number): Promise<Result<Uint8Array, Fault>> {
  const parts: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const part of answer.body) {
      parts.push(part);
      size += part.length;
      if (size > limit) return err(fault('engine-failed', `an answer of more than ${limit} bytes`));
    }
  } catch (error) {
    return err(brokenStreamFault(error));
  }
  return ok(Buffer.concat(parts));
}
