/** Decides from an answer's text alone whether it is whole, in order, and the caller's own. */
import { answerTag, answerText } from '../engine/index.js';
import type { OutcomeName } from './record.js';

/** What a reader collected of an answer that began well. */
export interface CollectedAnswer {
  readonly text: string;
  /** The end marker came, or the JSON answer was whole. */
  readonly ended: boolean;
  /** An error event came inside the stream. */
  readonly errorEvent: boolean;
  /** The echoed request id; undefined when there was none. */
  readonly echoedId: string | undefined;
}

/** What the caller asked. */
export interface Expectation {
  readonly id: string;
  readonly promptText: string;
  readonly outputTokens: number;
}

/** Verdict on an answer. */
export interface Verdict {
  readonly outcome: OutcomeName;
  readonly detail: string;
}

const verdict = (outcome: OutcomeName, detail = ''): Verdict => ({ outcome, detail });

const tokenPattern = /^([0-9a-f]{8})\.(\d+)$/;

/** A token that some other prompt's answer would carry. */
function foreignToken(text: string, tag: string): string | undefined {
  return text
    .split(' ')
    .filter((token) => token !== '')
    .find((token) => {
      const found = tokenPattern.exec(token);
      return found !== null && found[1] !== tag;
    });
}

/** Judges an answer. */
export function checkAnswer(answer: CollectedAnswer, expected: Expectation): Verdict {
  if (answer.echoedId !== expected.id) return verdict('crossed', `echoed id ${answer.echoedId ?? 'none'}`);
  const foreign = foreignToken(answer.text, answerTag(expected.promptText));
  if (foreign !== undefined) return verdict('crossed', `foreign token ${foreign}`);
  const whole = answerText(expected.promptText, expected.outputTokens);
  if (!whole.startsWith(answer.text)) return verdict('disordered', `got ${answer.text.slice(0, 200)}`);
  if (answer.errorEvent) return verdict('failed');
  if (!answer.ended) return verdict('cut', `after ${answer.text.length} of ${whole.length} bytes`);
  if (answer.text !== whole)
    return verdict('cut', `ended clean after ${answer.text.length} of ${whole.length} bytes`);
  return verdict('complete');
}
