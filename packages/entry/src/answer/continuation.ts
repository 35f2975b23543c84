/** Builds the request that continues a broken answer on another target. */
import * as z from 'zod';
import type { Call } from '../call/index.js';
import type { Progress } from './progress.js';

/** Default `max_tokens` of a completion in the OpenAI-compatible API. */
const COMPLETION_TOKENS = 16;

const message = z.looseObject({ role: z.string(), content: z.unknown().optional() });

const continuableBody = z.looseObject({
  prompt: z.string().optional(),
  messages: z.array(message).optional(),
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  max_tokens: z.number().nullish(),
  max_completion_tokens: z.number().nullish(),
  min_tokens: z.number().nullish(),
  continue_final_message: z.boolean().nullish(),
});

type Body = z.output<typeof continuableBody>;

/** Request fields that make the rest of an answer depend on more than the text generated so far. */
const STATEFUL_FIELDS = [
  'echo',
  'suffix',
  'tools',
  'functions',
  'response_format',
  'structured_outputs',
  'guided_json',
  'guided_regex',
  'guided_choice',
  'guided_grammar',
  'use_beam_search',
  'prompt_logprobs',
];

/** How a broken answer can be completed. */
export type Continuation =
  /** Another target generates the rest. */
  | { readonly type: 'ask'; readonly body: Uint8Array }
  /** All tokens were sent: the model finished, or the token limit is reached. */
  | { readonly type: 'complete'; readonly reason: 'finished' | 'length' }
  /** Generating the rest elsewhere could give a wrong answer. */
  | { readonly type: 'impossible' };

const impossible: Continuation = { type: 'impossible' };

/** Decides how to complete the answer to a call. @param progress the part of the answer that the caller has. */
export function continuationOf(call: Call, progress: Progress): Continuation {
  if (!progress.isPlainText) return impossible;
  const parsed = continuableBody.safeParse(JSON.parse(Buffer.from(call.body).toString('utf8')));
  if (!parsed.success) return impossible;
  const body = parsed.data;
  if (progress.finished) return wantsUsage(body) && !progress.usageSent ? impossible : finished;
  if (progress.tokens === 0) return { type: 'ask', body: call.body };
  if (STATEFUL_FIELDS.some((field) => isSet(body[field]))) return impossible;
  const next = call.path.startsWith('/v1/chat/')
    ? continueChat(body, progress)
    : continueText(body, progress);
  if (next === undefined) return impossible;
  const limit = next.max_completion_tokens ?? next.max_tokens;
  if (typeof limit === 'number' && limit <= 0) {
    return wantsUsage(body) ? impossible : { type: 'complete', reason: 'length' };
  }
  return { type: 'ask', body: Buffer.from(JSON.stringify(next)) };
}

const finished: Continuation = { type: 'complete', reason: 'finished' };

function isSet(value: unknown): boolean {
  return value !== undefined && value !== null && value !== false;
}

function wantsUsage(body: Body): boolean {
  const options = body.stream_options;
  return (
    typeof options === 'object' && options !== null && 'include_usage' in options && !!options.include_usage
  );
}

function continueText(body: Body, progress: Progress): Body | undefined {
  if (body.prompt === undefined) return undefined;
  const limit = body.max_tokens ?? COMPLETION_TOKENS;
  return {
    ...withReducedLimits(body, progress.tokens),
    prompt: body.prompt + progress.text,
    max_tokens: limit - progress.tokens,
  };
}

function continueChat(body: Body, progress: Progress): Body | undefined {
  const messages = body.messages ?? [];
  const last = messages.at(-1);
  const shared = {
    ...withReducedLimits(body, progress.tokens),
    continue_final_message: true,
    add_generation_prompt: false,
  };
  if (body.continue_final_message !== true) {
    return { ...shared, messages: [...messages, { role: 'assistant', content: progress.text }] };
  }
  if (typeof last?.content !== 'string') return undefined;
  return {
    ...shared,
    messages: [...messages.slice(0, -1), { ...last, content: last.content + progress.text }],
  };
}

/** The body with its token limits reduced by the number of tokens already sent. */
function withReducedLimits(body: Body, tokens: number): Body {
  const next: Body = { ...body };
  if (typeof body.max_tokens === 'number') next.max_tokens = body.max_tokens - tokens;
  if (typeof body.max_completion_tokens === 'number') {
    next.max_completion_tokens = body.max_completion_tokens - tokens;
  }
  if (typeof body.min_tokens === 'number') next.min_tokens = Math.max(0, body.min_tokens - tokens);
  return next;
}
