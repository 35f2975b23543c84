import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { CopySchedule } from './copySchedule.js';

const STORE = '10.0.0.9:80';
const part = (id: string, tokens: number) => ({ id, tokens });
const prompt = (inner: string) => ({
  model: 'm',
  parts: [part('outer', 2_520), part(inner, 3_780), part('own', 2_890)],
  promptTokens: 9_190,
  maxOutputTokens: 13,
});

describe('copies to the store', () => {
  it('copies only what the store lacks', () => {
    // If each entry copies a part every 8 s, along with the request's own part, without knowing what the others have
    // copied, the store turns over before a part is requested again. With eight entries and 36 requests a second over
    // 177 shared parts, a seventh of the shared parts were read again although the store had room for all of them.
    const kept = new Set(['old']);
    const schedule = new CopySchedule(new ManualClock(), (_store, { part: id }) => kept.has(id));
    expect(schedule.isDue(STORE, prompt('old'), 's')).toBe(false);
    expect(schedule.isDue(STORE, prompt('new'), 's')).toBe(true);
  });

  it('repeats a copy that the store does not report', async () => {
    const clock = new ManualClock();
    const copies = new CopySchedule(clock, () => false);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
    await clock.advance(1_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(false);
    await clock.advance(1_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
  });

  it('copies a part at intervals while there is no report from the store', async () => {
    const clock = new ManualClock();
    const copies = new CopySchedule(clock, () => undefined);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
    await clock.advance(7_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(false);
    await clock.advance(2_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
  });

  it('copies nothing for a prompt without shared parts', () => {
    const copies = new CopySchedule(new ManualClock(), () => false);
    expect(copies.isDue(STORE, { ...prompt('a'), parts: [part('own', 10)] }, 's')).toBe(false);
  });
});
