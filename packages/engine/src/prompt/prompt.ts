/** Reads the prompt from a request body, as bytes whose prefixes can be compared. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';
import { chatBody, completionBody } from './schema.js';
import type { ChatBody, ChatMessage, CompletionBody } from './schema.js';

/** The parts of a request that routing uses. */
export interface Prompt {
  /** Model without its adapter. */
  readonly model: string;
  /** Empty: none. */
  readonly adapter: string;
  /** The prompt as the engine's template renders it, in UTF-8. */
  readonly bytes: Uint8Array;
  readonly stream: boolean;
  /** Limit of output tokens that the caller requested; absent: none. */
  readonly maxTokens?: number;
  /** Number of answers requested at once. */
  readonly choices: number;
}

type Renderer = (body: unknown) => Result<Prompt, Fault>;

const decoder = new TextDecoder('utf-8', { fatal: true });

/** Splits "model:adapter". */
export function splitModel(name: string): { readonly model: string; readonly adapter: string } {
  const at = name.indexOf(':');
  return at === -1 ? { model: name, adapter: '' } : { model: name.slice(0, at), adapter: name.slice(at + 1) };
}

function invalid(message: string): Fault {
  return fault('invalid-request', message);
}

function parseBody<S extends z.ZodType>(schema: S, body: unknown): Result<z.output<S>, Fault> {
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
  const turns = body.messages.map((message) => `<|${message.role}|>\n${textOf(message)}\n`);
  const continued = body.continue_final_message === true;
  // A continued message has no final line break yet.
  if (continued) return turns.join('').slice(0, -1);
  return `${turns.join('')}<|assistant|>\n`;
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

const renderChat: Renderer = (json) =>
  parseBody(chatBody, json).map((body) => ({
    ...splitModel(body.model),
    bytes: Buffer.from(chatText(body)),
    stream: body.stream ?? false,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    choices: body.n ?? 1,
  }));

const renderCompletion: Renderer = (json) =>
  parseBody(completionBody, json).map((body) => ({
    ...splitModel(body.model),
    bytes: completionBytes(body.prompt),
    stream: body.stream ?? false,
    maxTokens: body.max_tokens ?? undefined,
    choices: body.n ?? 1,
  }));

const renderers: Readonly<Record<string, Renderer>> = {
  '/v1/chat/completions': renderChat,
  '/v1/completions': renderCompletion,
};

/** Paths of model services. */
export const promptPaths: readonly string[] = Object.keys(renderers);

/** Parses a JSON body. */
export function parseJson(body: Uint8Array): Result<unknown, Fault> {
  try {
    return ok(JSON.parse(decoder.decode(body)));
  } catch (cause) {
    return err(fault('invalid-request', 'the body is not JSON in UTF-8', { cause }));
  }
}

/**
 * Reads the prompt from a request body.
 * @param path path of the request, with or without its query.
 * @returns `unknown-route` for another path, `invalid-request` for a body of the wrong shape.
 */
export function promptOf(path: string, body: Uint8Array): Result<Prompt, Fault> {
  const [bare = ''] = path.split('?', 1);
  const render = Object.hasOwn(renderers, bare) ? renderers[bare] : undefined;
  if (render === undefined) return err(fault('unknown-route', `no such path: ${bare}`));
  return parseJson(body).andThen(render);
}
