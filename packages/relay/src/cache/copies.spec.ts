import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { Copies } from './copies.js';

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
    // Symptom: a seventh of the shared parts is read again, though there is a store with room for all of them.
    // Sequence: eight entries, 36 requests a second over 177 shared parts; each entry copies a part every 8 s, with the
    // request's own part, and the store turns over before a part is asked for again.
    // Cause: no entry knew what the others had copied.
    const kept = new Set(['old']);
    const copies = new Copies(new ManualClock(), (_store, { part: id }) => kept.has(id));
    expect(copies.isDue(STORE, prompt('old'), 's')).toBe(false);
    expect(copies.isDue(STORE, prompt('new'), 's')).toBe(true);
  });

  it('copies again what still does not show at the store', async () => {
    const clock = new ManualClock();
    const copies = new Copies(clock, () => false);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
    await clock.advance(1_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(false);
    await clock.advance(1_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
  });

  it('copies what it has not copied for a while when nobody tells what the store keeps', async () => {
    const clock = new ManualClock();
    const copies = new Copies(clock, () => undefined);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
    await clock.advance(7_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(false);
    await clock.advance(2_000);
    expect(copies.isDue(STORE, prompt('a'), 's')).toBe(true);
  });

  it('leaves prompts without shared parts alone', () => {
    const copies = new Copies(new ManualClock(), () => false);
    expect(copies.isDue(STORE, { ...prompt('a'), parts: [part('own', 10)] }, 's')).toBe(false);
  });
});
