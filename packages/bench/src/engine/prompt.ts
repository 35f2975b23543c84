/** From a request body to the prompt that the engine runs. */
import * as z from 'zod';

/** Bytes of one token, as docs/engine-protocol.md states. */
export const BYTES_PER_TOKEN = 4;
/** Tokens of one cache block. */
export const BLOCK_TOKENS = 16;

const content = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))]);

const shared = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  priority: z.number().default(0),
  cache_salt: z.string().default(''),
  metadata: z.record(z.string(), z.unknown()).nullish(),
};

const completionBody = z.object({
  ...shared,
  prompt: z.string(),
  max_tokens: z.number().int().positive().nullish(),
});

const chatBody = z.object({
  ...shared,
  messages: z.array(z.object({ role: z.string(), content })).min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  continue_final_message: z.boolean().default(false),
  add_generation_prompt: z.boolean().default(true),
});

/** Which API a body came by; decides the answer's shape. */
export type ApiKind = 'chat' | 'completion';

/** What the engine needs of a body. */
export interface Prompt {
  readonly kind: ApiKind;
  readonly text: string;
  readonly model: string;
  readonly adapter: string;
  readonly salt: string;
  readonly stream: boolean;
  readonly priority: number;
  readonly maxTokens: number;
  /** The caller's own mark, by which executions are counted. */
  readonly nonce: string;
}

const DEFAULT_MAX_TOKENS = 16;

const textOf = (value: z.output<typeof content>): string =>
  typeof value === 'string' ? value : value.map((part) => part.text).join('');

/** Renders a chat the way the protocol page states. */
export function renderChat(
  messages: readonly { readonly role: string; readonly content: string }[],
  continued: boolean,
): string {
  const rendered = messages.map((message) => `<|${message.role}|>\n${message.content}\n`).join('');
  return continued ? rendered.slice(0, -1) : `${rendered}<|assistant|>\n`;
}

const nonceOf = (metadata: Record<string, unknown> | null | undefined, text: string): string => {
  const own = metadata?.nonce;
  if (typeof own === 'string') return own;
  return /\[nonce:([\w.-]+)\]/.exec(text)?.[1] ?? '';
};

const split = (model: string): { model: string; adapter: string } => {
  const [name = '', adapter = ''] = model.split(':');
  return { model: name, adapter };
};

function readCompletion(body: unknown): Prompt {
  const parsed = completionBody.parse(body);
  return {
    kind: 'completion',
    text: parsed.prompt,
    ...split(parsed.model),
    salt: parsed.cache_salt,
    stream: parsed.stream,
    priority: parsed.priority,
    maxTokens: parsed.max_tokens ?? DEFAULT_MAX_TOKENS,
    nonce: nonceOf(parsed.metadata, parsed.prompt),
  };
}

function readChat(body: unknown): Prompt {
  const parsed = chatBody.parse(body);
  const messages = parsed.messages.map((message) => ({
    role: message.role,
    content: textOf(message.content),
  }));
  const text = renderChat(messages, parsed.continue_final_message);
  return {
    kind: 'chat',
    text,
    ...split(parsed.model),
    salt: parsed.cache_salt,
    stream: parsed.stream,
    priority: parsed.priority,
    maxTokens: parsed.max_completion_tokens ?? parsed.max_tokens ?? DEFAULT_MAX_TOKENS,
    nonce: nonceOf(parsed.metadata, text),
  };
}

/** Reads a body of either API. @throws ZodError when the body is wrong. */
export const readPrompt: Record<ApiKind, (body: unknown) => Prompt> = {
  completion: readCompletion,
  chat: readChat,
};

/** The prompt's bytes, zero-padded to whole tokens. */
export function tokenBytes(text: string): Buffer {
  const length = Buffer.byteLength(text);
  const padded = Buffer.alloc(Math.ceil(length / BYTES_PER_TOKEN) * BYTES_PER_TOKEN);
  padded.write(text);
  return padded;
}
