/** Reads a streaming answer event by event. */
import { createParser } from 'eventsource-parser';
import * as z from 'zod';

const chunk = z.looseObject({
  choices: z
    .array(
      z.looseObject({
        delta: z.looseObject({ content: z.string().nullish() }).optional(),
        message: z.looseObject({ content: z.string() }).optional(),
        text: z.string().optional(),
      }),
    )
    .default([]),
  usage: z
    .looseObject({
      prompt_tokens: z.number(),
      prompt_tokens_details: z.looseObject({ cached_tokens: z.number() }).optional(),
    })
    .nullish(),
  error: z
    .looseObject({ message: z.string(), code: z.string().nullish(), run: z.string().nullish() })
    .optional(),
});

/** One parsed event or JSON answer. */
export type AnswerPart = z.output<typeof chunk>;

/** What a reader has so far. */
export interface Reading {
  text: string;
  ended: boolean;
  error: AnswerPart['error'];
  promptTokens: number | undefined;
  cachedTokens: number | undefined;
  /** Time of each token on the monotonic clock. */
  readonly tokenTimes: number[];
}

/** A reading with nothing in it. */
export const emptyReading = (): Reading => ({
  text: '',
  ended: false,
  error: undefined,
  promptTokens: undefined,
  cachedTokens: undefined,
  tokenTimes: [],
});

/** Takes one part into a reading. */
export function takePart(reading: Reading, part: AnswerPart, now: number): void {
  const choice = part.choices[0];
  const text = choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? '';
  if (text !== '') {
    reading.text += text;
    reading.tokenTimes.push(now);
  }
  if (part.error !== undefined) reading.error = part.error;
  if (part.usage === undefined || part.usage === null) return;
  reading.promptTokens = part.usage.prompt_tokens;
  reading.cachedTokens = part.usage.prompt_tokens_details?.cached_tokens;
}

/** Parses a whole JSON answer. */
export const parseAnswer = (text: string): AnswerPart => chunk.parse(JSON.parse(text));

/** A parser that takes bytes of an event stream into a reading. */
export function streamParser(reading: Reading, now: () => number): (text: string) => void {
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') reading.ended = true;
      else takePart(reading, chunk.parse(JSON.parse(data)), now());
    },
  });
  return (text) => {
    parser.feed(text);
  };
}
