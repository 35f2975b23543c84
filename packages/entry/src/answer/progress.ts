/** The progress of a streamed answer, parsed from the bytes sent to the caller. */
import { createParser } from 'eventsource-parser';
import * as z from 'zod';

/** Data of the event that ends a stream. */
export const DONE_DATA = '[DONE]';

const usage = z.looseObject({
  prompt_tokens: z.number().optional(),
  completion_tokens: z.number().optional(),
  total_tokens: z.number().optional(),
});

const choice = z.looseObject({
  index: z.number().optional(),
  text: z.string().optional(),
  delta: z.looseObject({ role: z.string().nullish(), content: z.string().nullish() }).optional(),
  finish_reason: z.string().nullish(),
});

/** One event of a streamed answer; only the fields used here. */
export const chunkBody = z.looseObject({
  id: z.string().optional(),
  created: z.number().optional(),
  model: z.string().optional(),
  choices: z.array(choice).optional(),
  usage: usage.nullish(),
  error: z.unknown().optional(),
});

export type ChunkBody = z.output<typeof chunkBody>;
export type ChunkChoice = z.output<typeof choice>;

/** What the caller has of a streamed answer. */
export interface Progress {
  /** Output text so far. */
  readonly text: string;
  /** Output tokens so far, counted as events with text. */
  readonly tokens: number;
  /** Events so far. */
  readonly events: number;
  /** Whether events carry `id:` lines. */
  readonly hasEventIds: boolean;
  /** Fields of the first event that all events of an answer share. */
  readonly first: Pick<ChunkBody, 'id' | 'created' | 'model'>;
  /** Whether the role of the message was sent. */
  readonly roleSent: boolean;
  /** Whether the model finished; at most the events after the last token are missing. */
  readonly finished: boolean;
  /** Whether the usage figures were sent. */
  readonly usageSent: boolean;
  /** Whether the end marker was sent. */
  readonly done: boolean;
  /** Whether the answer is one choice of plain text; only such an answer can be continued. */
  readonly isPlainText: boolean;
}

type MutableProgress = { -readonly [Key in keyof Progress]: Progress[Key] };

const OUTPUT_FIELDS = new Set([
  'role',
  'content',
  'refusal',
  'reasoning_content',
  'tool_calls',
  'function_call',
]);
const PLAIN_TEXT_FIELDS = new Set(['role', 'content']);

/** Parses the events that were sent. Done only when a stream breaks, so that the hot path never parses. */
export function readProgress(sent: readonly Uint8Array[]): Progress {
  const draft: MutableProgress = {
    text: '',
    tokens: 0,
    events: 0,
    hasEventIds: false,
    first: {},
    roleSent: false,
    finished: false,
    usageSent: false,
    done: false,
    isPlainText: true,
  };
  const parser = createParser({
    onEvent: (event) => {
      if (event.id !== undefined) draft.hasEventIds = true;
      applyEvent(draft, event.data);
    },
  });
  const decoder = new TextDecoder();
  for (const bytes of sent) parser.feed(decoder.decode(bytes, { stream: true }));
  return draft;
}

function applyEvent(draft: MutableProgress, data: string): void {
  draft.events += 1;
  if (data === DONE_DATA) {
    draft.done = true;
    return;
  }
  const body = parseChunk(data);
  if (body === undefined || body.error !== undefined) {
    draft.isPlainText = false;
    return;
  }
  if (draft.events === 1) draft.first = { id: body.id, created: body.created, model: body.model };
  if (body.usage !== undefined && body.usage !== null) draft.usageSent = true;
  const choices = body.choices ?? [];
  if (choices.length > 1) draft.isPlainText = false;
  const [only] = choices;
  if (only !== undefined) applyChoice(draft, only);
}

function applyChoice(draft: MutableProgress, only: ChunkChoice): void {
  if ((only.index ?? 0) !== 0 || !isPlainDelta(only)) draft.isPlainText = false;
  const text = only.text ?? only.delta?.content ?? '';
  if (text !== '') draft.tokens += 1;
  draft.text += text;
  if (typeof only.delta?.role === 'string') draft.roleSent = true;
  if (typeof only.finish_reason === 'string') draft.finished = true;
}

function isPlainDelta({ delta }: ChunkChoice): boolean {
  if (delta === undefined) return true;
  return Object.entries(delta).every(
    ([name, value]) =>
      PLAIN_TEXT_FIELDS.has(name) || !OUTPUT_FIELDS.has(name) || value === null || value === undefined,
  );
}

/** Parses the data of one event; undefined if it is not a chunk of this API. */
export function parseChunk(data: string): ChunkBody | undefined {
  try {
    const parsed = chunkBody.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
