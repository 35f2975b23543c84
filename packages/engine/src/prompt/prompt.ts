/** What a request's body says about its prompt, as bytes that prefixes can be told by. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';
import { chatBody, completionBody } from './schema.js';
import type { ChatBody, ChatMessage, CompletionBody } from './schema.js';

/** A request as routing sees it. */
export interface Prompt {
  /** Model without its adapter. */
  readonly model: string;
  /** Empty: none. */
  readonly adapter: string;
  /** The prompt as the engine's template renders it, in UTF-8. */
  readonly bytes: Uint8Array;
  readonly stream: boolean;
  /** Most output tokens that the caller asked for; absent: not said. */
  readonly maxTokens?: number;
  /** Answers asked for at once. */
  readonly choices: number;
}

type Render = (body: unknown) => Result<Prompt, Fault>;

const decoder = new TextDecoder('utf-8', { fatal: true });

/** Splits "model:adapter". */
export function splitModel(name: string): { readonly model: string; readonly adapter: string } {
  const at = name.indexOf(':');
  return at === -1 ? { model: name, adapter: '' } : { model: name.slice(0, at), adapter: name.slice(at + 1) };
}

function invalid(message: string): Fault {
  return fault('invalid-request', message);
}

function check<S extends z.ZodType>(schema: S, body: unknown): Result<z.output<S>, Fault> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const where = issue?.path.join('.') ?? '';
  return err(invalid(`${where === '' ? 'body' : where}: ${issue?.message ?? 'not allowed'}`));
}

function textOf(message: ChatMessage): string {
  const { content } = message;
  if (content === null || content === undefined) return '';
  if (typeof content === 'string') return content;
  return content.map((part) => part.text ?? JSON.stringify(part)).join('');
}

function chatText(body: ChatBody): string {
  const blocks = body.messages.map((message) => `<|${message.role}|>\n${textOf(message)}\n`);
  const continued = body.continue_final_message === true;
  // A continued message has no end yet.
  if (continued) return blocks.join('').slice(0, -1);
  return `${blocks.join('')}<|assistant|>\n`;
}

function tokenBytes(tokens: readonly number[]): Uint8Array {
  const bytes = Buffer.alloc(tokens.length * 4);
  tokens.forEach((token, index) => bytes.writeUInt32LE(token >>> 0, index * 4));
  return bytes;
}

const isText = (item: string | number | number[]): item is string => typeof item === 'string';
const isToken = (item: string | number | number[]): item is number => typeof item === 'number';

function completionBytes(prompt: CompletionBody['prompt']): Uint8Array {
  if (typeof prompt === 'string') return Buffer.from(prompt);
  const items: readonly (string | number | number[])[] = prompt;
  if (items.every(isText)) return Buffer.from(items.join(''));
  if (items.every(isToken)) return tokenBytes(items);
  return tokenBytes(items.flat().filter((item) => typeof item === 'number'));
}

const renderChat: Render = (json) =>
  check(chatBody, json).map((body) => ({
    ...splitModel(body.model),
    bytes: Buffer.from(chatText(body)),
    stream: body.stream ?? false,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    choices: body.n ?? 1,
  }));

const renderCompletion: Render = (json) =>
  check(completionBody, json).map((body) => ({
    ...splitModel(body.model),
    bytes: completionBytes(body.prompt),
    stream: body.stream ?? false,
    maxTokens: body.max_tokens ?? undefined,
    choices: body.n ?? 1,
  }));

const renders: Readonly<Record<string, Render>> = {
  '/v1/chat/completions': renderChat,
  '/v1/completions': renderCompletion,
};

/** Paths that model services answer. */
export const promptPaths: readonly string[] = Object.keys(renders);

/** Parses JSON. */
export function parseJson(body: Uint8Array): Result<unknown, Fault> {
  try {
    return ok(JSON.parse(decoder.decode(body)));
  } catch (cause) {
    return err(fault('invalid-request', 'the body is not JSON in UTF-8', { cause }));
  }
}

/**
 * Reads a request's body.
 * @param path path of the request, with or without its query.
 * @returns `unknown-route` for another path, `invalid-request` for a body of the wrong shape.
 */
export function promptOf(path: string, body: Uint8Array): Result<Prompt, Fault> {
  const [bare = ''] = path.split('?', 1);
  const render = Object.hasOwn(renders, bare) ? renders[bare] : undefined;
  if (render === undefined) return err(fault('unknown-route', `no such path: ${bare}`));
  return parseJson(body).andThen(render);
}
