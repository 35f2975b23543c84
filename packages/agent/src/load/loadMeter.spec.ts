import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { LoadMeter } from './loadMeter.js';

describe('LoadMeter', () => {
  it('measures the prefill rate over requests that the target runs one after the other', async () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const measurements = [0, 1, 2].map(() => meter.track(5, 1_000));
    for (const measurement of measurements) measurement.sent();
    expect(meter.pendingTokens(5)).toBe(3_000);
    expect(meter.pendingTokens(6)).toBe(0);
    for (const measurement of measurements) {
      await clock.advance(100);
      measurement.firstToken();
    }
    expect(meter.prefillRate).toBeCloseTo(10_000);
    expect(meter.pendingTokens(0)).toBe(0);
  });

  it('does not lower the prefill rate of a target that answers from its cache', async () => {
    // An idle target refuses a long new prompt as unable to meet its deadline. It has answered a thousand requests with
    // nearly fully cached prompts, and their fixed latency was attributed to their few uncached tokens.
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const runRequest = async (tokens: number, ms: number): Promise<void> => {
      const measurement = meter.track(5, tokens);
      measurement.sent();
      await clock.advance(ms);
      measurement.firstToken();
      measurement.ended(0);
    };
    await runRequest(8_000, 1_000);
    for (let index = 0; index < 100; index++) await runRequest(10, 25);
    expect(meter.prefillRate).toBeCloseTo(8_000);
  });

  it('ignores a failed request, and measures the time between tokens', async () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const failed = meter.track(5, 1_000);
    failed.sent();
    failed.ended(0);
    expect([meter.pendingTokens(0), meter.prefillRate]).toEqual([0, 0]);
    const measurement = meter.track(5, 1_000);
    measurement.sent();
    measurement.firstToken();
    await clock.advance(90);
    measurement.ended(10);
    expect(meter.tokenMs).toBeCloseTo(10);
  });
});
