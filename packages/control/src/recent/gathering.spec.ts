import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { Gathering } from './gathering.js';

describe('gathering', () => {
  it('calls back once for what comes within its time', async () => {
    const clock = new ManualClock();
    let told = 0;
    const gathering = new Gathering(
      clock,
      () => 150,
      () => {
        told += 1;
      },
    );
    for (let change = 0; change < 3; change += 1) gathering.note();
    expect(told).toBe(0);
    await clock.advance(150);
    expect(told).toBe(1);
    await clock.advance(1_000);
    expect(told).toBe(1);
    gathering.note();
    await clock.advance(150);
    expect(told).toBe(2);
  });

  it('tells no more often the more tell it', async () => {
    // Pattern: 32 entries tell their work ten times a second each; each event goes to all of them.
    const clock = new ManualClock();
    let told = 0;
    const gathering = new Gathering(
      clock,
      () => 100,
      () => {
        told += 1;
      },
    );
    for (let step = 0; step < 100; step += 1) {
      for (let entry = 0; entry < 32; entry += 1) gathering.note();
      await clock.advance(10);
    }
    expect(told).toBeLessThanOrEqual(10);
  });
});
