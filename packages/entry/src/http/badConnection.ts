/** Error answers for connections whose bytes are not a valid request. */
import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { answerOf, fault } from '@jasmineroute/core';
import type { FaultKind } from '@jasmineroute/core';
import { errorBody } from './reply.js';

/** Codes of errors that the server finds itself, beside those of the parser. */
export const HEAD_TOO_LARGE = 'HPE_HEADER_OVERFLOW';
export const NO_MEMORY_FOR_HEAD = 'NO_MEMORY_FOR_HEAD';

interface BadRequest {
  readonly status: number;
  readonly message: string;
  /** Absent: an invalid request. */
  readonly kind?: FaultKind;
  /** When the caller may come back, seconds. */
  readonly retryAfterS?: number;
}

const malformed: BadRequest = { status: 400, message: 'the request is not valid HTTP/1.1' };

const errorsByCode: Readonly<Record<string, BadRequest>> = {
  [HEAD_TOO_LARGE]: { status: 431, message: 'the head of the request is too large' },
  [NO_MEMORY_FOR_HEAD]: {
    status: 503,
    message: 'this entry is reading too many request heads',
    kind: 'overloaded',
    retryAfterS: 1,
  },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, message: 'the chunk extensions are too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, message: 'the request did not arrive in time' },
  HPE_UNEXPECTED_CONTENT_LENGTH: { status: 400, message: 'the length of the body is given more than once' },
  HPE_INVALID_CONTENT_LENGTH: { status: 400, message: 'Content-Length is not valid' },
  HPE_INVALID_TRANSFER_ENCODING: { status: 400, message: 'Transfer-Encoding is not valid' },
};

/** Status of the answer to a parser error. */
export function statusOfParserError(code: string | undefined): number {
  return (errorsByCode[code ?? ''] ?? malformed).status;
}

/** Writes an error and closes the connection, because later bytes can't be parsed reliably. */
export function refuseConnection(code: string | undefined, socket: Duplex): void {
  const { status, message, kind, retryAfterS } = errorsByCode[code ?? ''] ?? malformed;
  const body = JSON.stringify(errorBody(fault(kind ?? 'invalid-request', message)));
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...(retryAfterS === undefined ? [] : [`Retry-After: ${retryAfterS}`]),
    'X-Run-State: not-run',
    'Connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** Refuses a request whose body was given up while it waited for its turn. */
export function refuseUnread(answer: ServerResponse): void {
  const problem = fault('overloaded', 'the body is too long to wait for the answers before it');
  const body = Buffer.from(JSON.stringify(errorBody(problem)));
  answer.writeHead(answerOf(problem.kind).status, {
    'content-type': 'application/json',
    'content-length': body.length,
    'retry-after': '1',
    'x-run-state': 'not-run',
    connection: 'close',
  });
  answer.end(body);
}
