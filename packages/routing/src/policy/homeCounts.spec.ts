import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import { HomeCounts } from './homeCounts.js';
import { Popularity } from './popularity.js';

const KEY = 42;

describe('HomeCounts', () => {
  it('adds homes for a popular prefix at once and removes them one by one', async () => {
    const clock = new ManualClock();
    const counts = new HomeCounts(clock);
    expect(counts.homes(KEY, 0.01, 13)).toBe(1);
    expect(counts.homes(KEY, 0.4, 13)).toBe(7);
    await clock.advance(4_000);
    expect(counts.homes(KEY, 0.01, 13)).toBe(7);
    await clock.advance(5_000);
    expect(counts.homes(KEY, 0.01, 13)).toBe(6);
    expect(counts.homes(KEY, 0.01, 13)).toBe(6);
  });

  it('does not flap when the share oscillates around a threshold', async () => {
    // If the number of homes followed the share in both directions at once, a share that changes between 14 and
    // 17 in 100 every second would fill the cache of a new home again and again for nothing.
    const clock = new ManualClock();
    const counts = new HomeCounts(clock);
    const seen = new Set<number>();
    for (let second = 0; second < 60; second += 1) {
      seen.add(counts.homes(KEY, second % 2 === 0 ? 0.14 : 0.17, 13));
      await clock.advance(1_000);
    }
    expect([...seen]).toEqual([3]);
  });

  it('never has more homes than targets', () => {
    const counts = new HomeCounts(new ManualClock());
    expect(counts.homes(KEY, 1, 6)).toBe(6);
    expect(counts.homes(KEY, 1, 4)).toBe(4);
  });
});

describe('Popularity', () => {
  it('estimates the share of a popular prefix among many others, and lets it decay', async () => {
    const clock = new ManualClock();
    const popularity = new Popularity(clock);
    for (let request = 0; request < 5_000; request += 1) {
      popularity.record([request % 4 === 0 ? KEY : 1_000_000 + request]);
    }
    expect(popularity.share(KEY)).toBeGreaterThan(0.24);
    expect(popularity.share(KEY)).toBeLessThan(0.27);
    await clock.advance(60_000);
    for (let request = 0; request < 100; request += 1) popularity.record([2_000_000 + request]);
    expect(popularity.share(KEY)).toBeLessThan(0.2);
  });

  it('keeps its precision for days', async () => {
    const clock = new ManualClock();
    const popularity = new Popularity(clock);
    for (let hour = 0; hour < 72; hour += 1) {
      for (let request = 0; request < 20; request += 1) popularity.record([KEY, request]);
      expect(popularity.share(KEY)).toBeGreaterThan(0.4);
      expect(popularity.share(KEY)).toBeLessThanOrEqual(1);
      await clock.advance(hour * 3_600_000);
    }
  });
});
