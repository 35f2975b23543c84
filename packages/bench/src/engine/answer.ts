/**
 * The deterministic answer. Each output token carries a tag, a hash of the prompt, and its own position, so
 * that a checker sees from the text alone whether an answer is whole, in order and its own. A prompt that
 * ends in tokens of its own answer is a continuation: it goes on where they stop.
 */
import { createHash } from 'node:crypto';

const TAG_LENGTH = 8;

/** Tag of all output tokens for a prompt. */
export function answerTag(promptText: string): string {
  return createHash('sha1').update(promptText).digest('hex').slice(0, TAG_LENGTH);
}

/** Output token at a position. */
export function answerToken(tag: string, position: number): string {
  return `${tag}.${position} `;
}

/** The whole answer to a prompt. */
export function answerText(promptText: string, tokens: number): string {
  const tag = answerTag(promptText);
  return Array.from({ length: tokens }, (_, position) => answerToken(tag, position)).join('');
}

/** Where an answer starts. */
export interface AnswerStart {
  readonly tag: string;
  /** Position of the first token still to come. */
  readonly position: number;
}

const tail = /(?:([0-9a-f]{8})\.\d+ )+$/;

/** Finds out whether a prompt continues an answer of its own, and from where. */
export function answerStart(promptText: string): AnswerStart {
  const written = tail.exec(promptText);
  if (written === null) return { tag: answerTag(promptText), position: 0 };
  const original = promptText.slice(0, written.index);
  const tag = answerTag(original);
  const position = written[0].trimEnd().split(' ').length;
  if (written[0] !== answerText(original, position)) return { tag: answerTag(promptText), position: 0 };
  return { tag, position };
}
