/** Rewrites the events of a later attempt so that they continue the stream of the first one. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { DONE_DATA, parseChunk } from './progress.js';
import type { ChunkBody, Progress } from './progress.js';

/** Rewrites events as the first attempt would have sent them, with consistent ids, event numbers, role and usage. */
export class EventRewriter {
  private readonly decoder = new TextDecoder();
  private readonly out: string[] = [];
  private readonly parser = createParser({
    onEvent: (event) => {
      this.handleEvent(event);
    },
  });
  private nextEventId: number;

  /** @param progress what the caller has. */
  constructor(private readonly progress: Progress) {
    this.nextEventId = progress.events;
  }

  /** Rewrites complete events. */
  push(events: Uint8Array): Uint8Array {
    this.parser.feed(this.decoder.decode(events, { stream: true }));
    return Buffer.from(this.out.splice(0).join(''));
  }

  /** The final events of an answer whose tokens were all sent. */
  finalEvents(reason: 'finished' | 'length', chat: boolean): Uint8Array {
    if (reason === 'length') {
      const empty = chat ? { delta: {} } : { text: '' };
      const object = chat ? 'chat.completion.chunk' : 'text_completion';
      const choices = [{ index: 0, ...empty, finish_reason: 'length' }];
      this.write(JSON.stringify({ ...this.progress.first, object, choices }));
    }
    this.write(DONE_DATA);
    return Buffer.from(this.out.splice(0).join(''));
  }

  private handleEvent({ data }: EventSourceMessage): void {
    const body = data === DONE_DATA ? undefined : parseChunk(data);
    if (body === undefined) {
      this.write(data);
      return;
    }
    const rewritten = this.rewrite(body);
    if (rewritten !== undefined) this.write(JSON.stringify(rewritten));
  }

  private write(data: string): void {
    const id = this.progress.hasEventIds ? `id: ${this.nextEventId}\n` : '';
    this.nextEventId += 1;
    const lines = data.split('\n').map((line) => `data: ${line}\n`);
    this.out.push(`${id}${lines.join('')}\n`);
  }

  /** @returns undefined if the event holds only the role, which was already sent. */
  private rewrite(body: ChunkBody): ChunkBody | undefined {
    const { first, tokens, roleSent } = this.progress;
    const next: ChunkBody = { ...body, ...withoutUndefined(first) };
    if (roleSent) next.choices = body.choices?.map((choice) => withoutRole(choice));
    if (body.usage !== undefined && body.usage !== null) next.usage = correctUsage(body.usage, tokens);
    const [only] = body.choices ?? [];
    const roleOnly = roleSent && typeof only?.delta?.role === 'string';
    const empty = (only?.delta?.content ?? '') === '' && typeof only?.finish_reason !== 'string';
    return roleOnly && empty && next.usage === undefined ? undefined : next;
  }
}

type Choice = NonNullable<ChunkBody['choices']>[number];

function withoutRole(choice: Choice): Choice {
  if (choice.delta?.role === undefined) return choice;
  const delta = { ...choice.delta };
  delete delta.role;
  return { ...choice, delta };
}

/** Counts the text sent earlier as output, because the second target counted it as part of the prompt. */
function correctUsage(
  usage: NonNullable<ChunkBody['usage']>,
  tokens: number,
): NonNullable<ChunkBody['usage']> {
  return {
    ...usage,
    prompt_tokens: Math.max(0, (usage.prompt_tokens ?? 0) - tokens),
    completion_tokens: (usage.completion_tokens ?? 0) + tokens,
  };
}

function withoutUndefined<T extends object>(fields: T): Partial<T> {
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as Partial<T>;
}
