import { describe, expect, it } from 'vitest';
import { NewestStarts, compareStarts, startId } from './targetStart.js';

describe('starts of a target', () => {
  it('have ids of their own, which are the name where none is told', () => {
    expect(startId({ name: 'i-1' })).toBe('i-1');
    expect(new Set([startId({ name: 'i-1', born: 5 }), startId({ name: 'i-1', born: 6 })]).size).toBe(2);
  });

  it('are in order of what they tell, and one that tells is newer', () => {
    const order = (one?: number, other?: number): number =>
      Math.sign(compareStarts({ name: 'i-1', born: one }, { name: 'i-1', born: other }));
    expect([order(5, 6), order(6, 5), order(5, 5), order(), order(5), order(undefined, 5)]).toEqual([
      -1, 1, 0, 0, 1, -1,
    ]);
  });

  it('are remembered by the newest, in whichever order they are heard', () => {
    const newest = new NewestStarts();
    expect(newest.isOld({ name: 'i-1', born: 6 })).toBe(false);
    expect(newest.isOld({ name: 'i-1', born: 5 })).toBe(true);
    expect(newest.isOld({ name: 'i-1' })).toBe(true);
    expect(newest.isOld({ name: 'i-2', born: 1 })).toBe(false);
    expect(newest.isOld({ name: 'i-1', born: 7 })).toBe(false);
    newest.forget({ name: 'i-1', born: 6 });
    expect(newest.of('i-1')?.born).toBe(7);
    newest.forget({ name: 'i-1', born: 7 });
    expect(newest.of('i-1')).toBeUndefined();
  });
});
