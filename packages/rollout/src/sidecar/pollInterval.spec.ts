import { describe, expect, it } from 'vitest';
import { intervalFactor } from './pollInterval.js';

describe('the poll interval of a target', () => {
  it.each([
    [0, 1],
    [8, 1],
    [16, 1],
    [17, 2],
    [32, 2],
    [70, 4],
    [360, 4],
  ])('with %i entries: %i times the shortest interval', (entries, times) => {
    // Load to avoid: 54 processes beside targets poll ten times a second each, and every report goes to 70 entries.
    expect(intervalFactor(entries, 4)).toBe(times);
  });
});
