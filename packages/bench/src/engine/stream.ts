/** Answers in the shapes of the OpenAI-compatible API, as JSON and as server-sent events. */
import type { ServerResponse } from 'node:http';
import type { Clock } from '@jasmineroute/core';
import type { Generation } from './generation.js';

const PING_MS = 500;

const chunkObject = { chat: 'chat.completion.chunk', completion: 'text_completion' } as const;
const wholeObject = { chat: 'chat.completion', completion: 'text_completion' } as const;

const modelName = ({ prompt }: Generation): string =>
  prompt.adapter === '' ? prompt.model : `${prompt.model}:${prompt.adapter}`;

const usageOf = (generation: Generation): object => ({
  prompt_tokens: generation.promptTokens,
  completion_tokens: generation.tokens.length,
  total_tokens: generation.promptTokens + generation.tokens.length,
  prompt_tokens_details: { cached_tokens: generation.cachedTokens },
});

const chunkChoice = {
  chat: (text: string, finish: string | null) => ({
    index: 0,
    delta: { role: 'assistant', content: text },
    finish_reason: finish,
  }),
  completion: (text: string, finish: string | null) => ({ index: 0, text, finish_reason: finish }),
} as const;

const wholeChoice = {
  chat: (text: string) => ({
    index: 0,
    message: { role: 'assistant', content: text },
    finish_reason: 'length',
  }),
  completion: (text: string) => ({ index: 0, text, finish_reason: 'length' }),
} as const;

function eventOf(generation: Generation, index: number): string {
  const { kind, maxTokens } = generation.prompt;
  const last = index === maxTokens - 1;
  const data = JSON.stringify({
    id: `cmpl-${generation.id}`,
    object: chunkObject[kind],
    created: 0,
    model: modelName(generation),
    choices: [chunkChoice[kind](generation.tokens[index] ?? '', last ? 'length' : null)],
    ...(last ? { usage: usageOf(generation) } : {}),
  });
  return `id: ${index}\ndata: ${data}\n\n`;
}

/** The whole answer as one JSON object. */
export function wholeAnswer(generation: Generation): object {
  const { kind } = generation.prompt;
  return {
    id: `cmpl-${generation.id}`,
    object: wholeObject[kind],
    created: 0,
    model: modelName(generation),
    choices: [wholeChoice[kind](generation.tokens.join(''))],
    usage: usageOf(generation),
  };
}

/** Resolves when the work is at its end, or the reader has gone. */
export function ended(generation: Generation, response: ServerResponse, clock: Clock): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      detach(clock.monotonic());
      resolve();
    };
    const detach = generation.attach(() => {
      if (generation.ended) finish();
    });
    response.once('close', finish);
    if (generation.ended) finish();
  });
}

/** Sends events from a position on, pings between, and `[DONE]` at a proper end. */
export function streamAnswer(
  generation: Generation,
  from: number,
  response: ServerResponse,
  clock: Clock,
): void {
  let next = from;
  let cancelPing: () => void = () => undefined;

  const ping = (): void => {
    cancelPing = clock.after(PING_MS, () => {
      response.write(': ping\n\n');
      ping();
    });
  };
  const finish = (): void => {
    cancelPing();
    detach(clock.monotonic());
    // A cancelled stream ends without its marker: a reader must not take it for a whole answer.
    if (generation.stage === 'done') response.end('data: [DONE]\n\n');
    else response.destroy();
  };
  const advance = (): void => {
    let text = '';
    while (next < generation.tokens.length) {
      text += eventOf(generation, next);
      next += 1;
    }
    if (text !== '') {
      cancelPing();
      response.write(text);
      ping();
    }
    if (generation.ended) finish();
  };

  const detach = generation.attach(advance);
  response.once('close', () => {
    cancelPing();
    detach(clock.monotonic());
  });
  ping();
  advance();
}
