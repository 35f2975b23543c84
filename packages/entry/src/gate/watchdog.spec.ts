import { expect, it } from 'vitest';
import type { Clock } from '@jasmineroute/core';
import { ManualClock } from '@jasmineroute/core';
import { Watchdog } from './watchdog.js';

it('does not count time in which the process itself stood still', () => {
  // Symptom: all streams of an entry are cut and resumed at once, again and again, under load.
  // Sequence: the process stands still for seconds; then its timers run before its sockets are read.
  // Cause: what had arrived meanwhile was not heard yet.
  let now = 0;
  let armed: { readonly at: number; readonly action: () => void } | undefined;
  const clock: Clock = {
    now: () => new Date(0),
    monotonic: () => now,
    sleep: () => Promise.resolve(),
    after: (ms, action) => {
      armed = { at: now + ms, action };
      return () => undefined;
    },
  };
  let bites = 0;
  const dog = new Watchdog(clock, 2_000, () => {
    bites += 1;
  });
  now = 500;
  dog.heard();
  now = 6_000;
  armed?.action();
  expect(bites).toBe(0);
  expect(armed?.at).toBe(6_500);
  now = 6_500;
  armed?.action();
  expect(bites).toBe(1);
});

it('bites after the stated silence, and not while nobody reads', async () => {
  const clock = new ManualClock();
  let bites = 0;
  const dog = new Watchdog(clock, 100, () => {
    bites += 1;
  });
  dog.pause();
  await clock.advance(1_000);
  expect(bites).toBe(0);
  dog.resume();
  await clock.advance(99);
  expect(bites).toBe(0);
  await clock.advance(101);
  expect(bites).toBe(1);
});
