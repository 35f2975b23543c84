import { beforeEach, describe, expect, it } from 'vitest';
import { ResponseTimeouts } from './responseTimeouts.js';

const BOUNDS = { leastMs: 500, mostMs: 1_500 };

describe('the timeout of a call', () => {
  let times: ResponseTimeouts;

  const answer = (ms: number, count: number): void => {
    for (let at = 0; at < count; at += 1) times.recordResponse('a', ms);
  };

  beforeEach(() => {
    times = new ResponseTimeouts(BOUNDS);
  });

  it('is the lower bound for fast responses, separately for each replica', () => {
    answer(20, 20);
    expect(times.waitMs('a')).toBe(500);
    expect(times.waitMs('b')).toBe(1_000);
  });

  it('grows with the response time, up to the upper bound', () => {
    answer(400, 1);
    expect(times.waitMs('a')).toBe(1_200);
    answer(900, 50);
    expect(times.waitMs('a')).toBeGreaterThan(900);
    answer(5_000, 50);
    expect(times.waitMs('a')).toBe(1_500);
  });

  it('shrinks again, and is reset by the first response after a timeout', () => {
    answer(900, 20);
    answer(20, 60);
    expect(times.waitMs('a')).toBe(500);
    times.recordTimeout('a');
    expect(times.waitMs('a')).toBe(1_000);
    answer(20, 1);
    expect(times.waitMs('a')).toBe(500);
  });

  // Guards against a timeout after a timeout that is shorter than the one before, so that slow responses never arrive.
  it('doubles with each timeout in a row, up to the upper bound', () => {
    answer(160, 1);
    expect(times.waitMs('a')).toBe(500);
    const waits = [1, 2, 3].map(() => {
      times.recordTimeout('a');
      return times.waitMs('a');
    });
    expect(waits).toEqual([1_000, 1_500, 1_500]);
    answer(700, 1);
    expect(times.waitMs('a')).toBe(1_500);
    times.recordTimeout('a');
    expect(times.waitMs('a')).toBe(1_500);
  });
});
