import { describe, expect, it } from 'vitest';
import { silentLog } from './event.js';
import { ProblemTally } from './problemTally.js';

const event = { id: 1, level: 'warn', message: 'can not be read' } as const;

describe('ProblemTally', () => {
  it('logs the first, the tenth and the hundredth of a source, and counts all', () => {
    const lines: unknown[] = [];
    const log = { ...silentLog, event: (_kind: unknown, fields: unknown) => lines.push(fields) };
    const tally = new ProblemTally(log, event);
    for (let n = 0; n < 150; n += 1) tally.record('a', 'no state');
    tally.record('b', 'no address');
    expect(lines).toEqual([
      { source: 'a', problem: 'no state', count: 1 },
      { source: 'a', problem: 'no state', count: 10 },
      { source: 'a', problem: 'no state', count: 100 },
      { source: 'b', problem: 'no address', count: 1 },
    ]);
    expect(tally.countOf('a')).toBe(150);
  });

  it('counts problems that are recorded together', () => {
    const lines: unknown[] = [];
    const log = { ...silentLog, event: (_kind: unknown, fields: unknown) => lines.push(fields) };
    const tally = new ProblemTally(log, event);
    tally.record('a', 'no state', 7);
    tally.record('a', 'no state', 7);
    tally.record('a', 'no state', 7);
    expect(lines).toMatchObject([{ count: 7 }, { count: 14 }]);
    expect(tally.countOf('a')).toBe(21);
  });

  it('counts a bounded number of sources separately', () => {
    const lines: { source?: string }[] = [];
    const log = { ...silentLog, event: (_kind: unknown, fields = {}) => void lines.push(fields) };
    const tally = new ProblemTally(log, event);
    for (let n = 0; n < 5_000; n += 1) tally.record(`s${n}`, 'no state');
    expect(lines.length).toBeLessThan(1_010);
    expect(tally.countOf('others')).toBe(4_000);
  });
});
