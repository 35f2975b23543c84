/** How far a streamed answer has come, read from the bytes that the caller has. */
import { createParser } from 'eventsource-parser';
import * as z from 'zod';

/** Data of the event that ends an answer. */
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

/** One event of a streamed answer, as far as it is read here. */
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

/** Where a streamed answer stands. */
export interface Progress {
  /** Output text so far. */
  readonly text: string;
  /** Output tokens so far: events with text. */
  readonly tokens: number;
  /** Events so far. */
  readonly events: number;
  /** Whether events carry `id:` lines. */
  readonly hasEventIds: boolean;
  /** Fields of the first event, which all events of one answer share. */
  readonly first: Pick<ChunkBody, 'id' | 'created' | 'model'>;
  /** The caller has been told the role of the answer. */
  readonly roleSent: boolean;
  /** The model finished; only what follows the last token is missing. */
  readonly finished: boolean;
  /** The caller has the usage figures. */
  readonly usageSent: boolean;
  /** The end marker was sent. */
  readonly done: boolean;
  /** Nothing but one choice of plain text came: only that can be continued. */
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

/** Reads the events that were sent. Only done when a stream breaks: the hot path never parses. */
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

/** Reads one event's data, or undefined when it is not one of this API. */
export function parseChunk(data: string): ChunkBody | undefined {
  try {
    const parsed = chunkBody.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
