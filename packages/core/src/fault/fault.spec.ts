import { describe, expect, it } from 'vitest';
import type { FaultKind } from './fault.js';
import { answerOf, fault, faultAnswers, isFaultKind } from './fault.js';

describe('faults', () => {
  it('uses the defaults of the kind for omitted details', () => {
    expect(fault('overloaded', 'busy')).toMatchObject({ ran: 'not-run', retryAfterMs: 1_000 });
    expect(fault('target-lost', 'gone', { ran: 'not-run' }).ran).toBe('not-run');
  });

  it('uses 502 and 504 only for requests that may have run', () => {
    for (const kind of Object.keys(faultAnswers) as FaultKind[]) {
      const answer = answerOf(kind);
      if (answer.status === 502 || answer.status === 504) expect(answer.ran).toBe('may-have-run');
    }
  });

  it('distinguishes fault kinds from other strings', () => {
    expect(isFaultKind('overloaded')).toBe(true);
    expect(isFaultKind('toString')).toBe(false);
  });
});
