import { describe, expect, it } from 'vitest';
import { timesFor } from './pollInterval.js';

describe('how often a target is looked at', () => {
  it.each([
    [0, 1],
    [8, 1],
    [16, 1],
    [17, 2],
    [32, 2],
    [70, 4],
    [360, 4],
  ])('with %i entries: %i times the shortest time', (entries, times) => {
    // Pattern: 54 processes beside targets looked ten times a second each; every look is told to 70 entries.
    expect(timesFor(entries, 4)).toBe(times);
  });
});
