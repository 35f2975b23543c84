import { describe, expect, it } from 'vitest';
import { ManualClock } from './manualClock.js';

describe('ManualClock', () => {
  it('runs timers in the order in which they fall due', async () => {
    const clock = new ManualClock();
    const seen: string[] = [];
    clock.after(20, () => seen.push('late'));
    clock.after(10, () => seen.push('early'));
    clock.after(15, () => seen.push('never'))();
    await clock.advance(30);
    expect(seen).toEqual(['early', 'late']);
    expect(clock.monotonic()).toBe(30);
  });

  it('rejects an aborted sleep', async () => {
    const clock = new ManualClock();
    const abort = new AbortController();
    const sleep = clock.sleep(10, abort.signal);
    abort.abort(new Error('enough'));
    await expect(sleep).rejects.toThrow('enough');
  });
});
