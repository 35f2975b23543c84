import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { Coalescer } from './coalescer.js';

describe('coalescing of changes', () => {
  it('calls back once for all changes within its delay', async () => {
    const clock = new ManualClock();
    let callbacks = 0;
    const coalescer = new Coalescer(
      clock,
      () => 150,
      () => {
        callbacks += 1;
      },
    );
    for (let change = 0; change < 3; change += 1) coalescer.recordChange();
    expect(callbacks).toBe(0);
    await clock.advance(150);
    expect(callbacks).toBe(1);
    await clock.advance(1_000);
    expect(callbacks).toBe(1);
    coalescer.recordChange();
    await clock.advance(150);
    expect(callbacks).toBe(2);
  });

  it('calls back no more often when more sources report changes', async () => {
    // Guards against a load that grows with the square of the number of entries: 32 entries each report their work ten
    // times a second, and each event goes to all of them.
    const clock = new ManualClock();
    let callbacks = 0;
    const coalescer = new Coalescer(
      clock,
      () => 100,
      () => {
        callbacks += 1;
      },
    );
    for (let step = 0; step < 100; step += 1) {
      for (let entry = 0; entry < 32; entry += 1) coalescer.recordChange();
      await clock.advance(10);
    }
    expect(callbacks).toBeLessThanOrEqual(10);
  });
});
