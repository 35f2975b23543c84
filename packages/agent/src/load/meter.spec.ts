import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { LoadMeter } from './meter.js';

describe('LoadMeter', () => {
  it('measures prefill over requests that the target works off one after the other', async () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const measures = [0, 1, 2].map(() => meter.measure(5, 1_000));
    for (const measure of measures) measure.sent();
    expect(meter.ahead(5)).toBe(3_000);
    expect(meter.ahead(6)).toBe(0);
    for (const measure of measures) {
      await clock.advance(100);
      measure.firstToken();
    }
    expect(meter.prefillRate).toBeCloseTo(10_000);
    expect(meter.ahead(0)).toBe(0);
  });

  it('does not take a target for slow that answers from its cache', async () => {
    // Symptom: requests are refused as not to be met in time by a target that is idle.
    // Sequence: a thousand requests have nearly all of their prompts cached; then a long new prompt comes.
    // Cause: the fixed time of each of them was taken for the time of its few tokens.
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const one = async (tokens: number, ms: number): Promise<void> => {
      const measure = meter.measure(5, tokens);
      measure.sent();
      await clock.advance(ms);
      measure.firstToken();
      measure.ended(0);
    };
    await one(8_000, 1_000);
    for (let index = 0; index < 100; index++) await one(10, 25);
    expect(meter.prefillRate).toBeCloseTo(8_000);
  });

  it('forgets a request that fails, and measures the time between tokens', async () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const lost = meter.measure(5, 1_000);
    lost.sent();
    lost.ended(0);
    expect([meter.ahead(0), meter.prefillRate]).toEqual([0, 0]);
    const measure = meter.measure(5, 1_000);
    measure.sent();
    measure.firstToken();
    await clock.advance(90);
    measure.ended(10);
    expect(meter.tokenMs).toBeCloseTo(10);
  });
});
