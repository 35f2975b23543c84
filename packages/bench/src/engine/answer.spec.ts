import { describe, expect, it } from 'vitest';
import { answerStart, answerTag, answerText } from './answer.js';

describe('the deterministic answer', () => {
  it('starts a new prompt at 0 with a tag of its own', () => {
    expect(answerStart('one')).toEqual({ tag: answerTag('one'), position: 0 });
    expect(answerTag('one')).not.toBe(answerTag('two'));
  });

  it('continues after its own tokens', () => {
    expect(answerStart(`one${answerText('one', 12)}`)).toEqual({ tag: answerTag('one'), position: 12 });
  });

  it('takes tokens of another answer, or with a hole, as part of the prompt', () => {
    const foreign = `one${answerText('two', 3)}`;
    expect(answerStart(foreign)).toEqual({ tag: answerTag(foreign), position: 0 });
    const holed = `one${answerText('one', 3).replace(/\S+\.1 /, '')}`;
    expect(answerStart(holed).position).toBe(0);
  });
});
