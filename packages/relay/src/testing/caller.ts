/** A caller of an entry, and scripts for the targets that answer it. */
import { Agent, request as send } from 'node:http';
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { Script } from './bed.js';

/** An answer as a caller sees it. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was received to its end. */
  readonly whole: boolean;
}

/** What a caller asks with. */
export interface Question {
  readonly id?: string;
  readonly path?: string;
  readonly host?: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
  readonly onData?: (text: string) => void;
}

/** Sends a request and reads its answer. */
export function ask(url: string, question: Question = {}): Promise<Answer> {
  const { id = 'q1', path = '/x', host = 'a.example', method = 'POST', body = 'question' } = question;
  const { agent, signal, onData } = question;
  const headers = { host, 't-id': id, ...question.headers };
  return new Promise((resolve, reject) => {
    const sent = send(`${url}${path}`, { method, headers, agent, signal }, (answer) => {
      let text = '';
      const end = (whole: boolean) => () => {
        resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text, whole });
      };
      answer.on('data', (part: Buffer) => {
        text += part.toString();
        onData?.(text);
      });
      answer.on('end', end(true));
      answer.on('error', end(false));
    });
    sent.on('error', reject);
    sent.end(method === 'GET' ? undefined : body);
  });
}

/** Resets the connection without an answer. */
export const reset: Script = (request) => {
  request.socket.resetAndDestroy();
};

/** States that the request did not run. */
export const refusal: Script = (request, response) => {
  response.writeHead(503, { 't-id': request.headers['t-id'], 't-not-run': '1' });
  response.end();
};

/** Writes events `from` to `to`, then calls `then`. */
export function events(from: number, to: number, then: (response: ServerResponse) => void): Script {
  return (request, response) => {
    response.writeHead(200, { 't-id': request.headers['t-id'], 't-signed': 'yes', 't-made-by': 'target' });
    for (let n = from; n <= to; n += 1) response.write(`id: ${n}\ndata: ${n}\n\n`);
    then(response);
  };
}

/** A route of streams that can be resumed. */
export const stream = { kind: 'stream' as const, resumable: true, maxAttempts: 2, hasPrompt: true };
/** The text of events `from` to `to`. */
export const text = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}\ndata: ${from + at}\n\n`).join('');
