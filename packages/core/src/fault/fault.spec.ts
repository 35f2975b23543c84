import { describe, expect, it } from 'vitest';
import type { FaultKind } from './fault.js';
import { answerOf, fault, faultAnswers, isFaultKind } from './fault.js';

describe('faults', () => {
  it('takes what is left out from the row of the kind', () => {
    expect(fault('overloaded', 'busy')).toMatchObject({ ran: 'not-run', retryAfterMs: 1_000 });
    expect(fault('target-lost', 'gone', { ran: 'not-run' }).ran).toBe('not-run');
  });

  it('answers every refusal before the run with a client or unavailable status', () => {
    for (const kind of Object.keys(faultAnswers) as FaultKind[]) {
      const answer = answerOf(kind);
      if (answer.status === 502 || answer.status === 504) expect(answer.ran).toBe('may-have-run');
    }
  });

  it('tells kinds from other strings', () => {
    expect(isFaultKind('overloaded')).toBe(true);
    expect(isFaultKind('toString')).toBe(false);
  });
});
