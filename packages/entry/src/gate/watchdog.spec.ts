import { expect, it } from 'vitest';
import type { Clock } from '@jasmineroute/core';
import { ManualClock } from '@jasmineroute/core';
import { Watchdog } from './watchdog.js';

// Guards against a loop under load in which all streams of an entry are closed and resumed at once. After a stall of
// the process, timers run before sockets are read, so events that have already arrived are not counted yet.
it('does not count time in which the process was stalled', () => {
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
  let silences = 0;
  const watchdog = new Watchdog(clock, 2_000, () => {
    silences += 1;
  });
  now = 500;
  watchdog.reset();
  now = 6_000;
  armed?.action();
  expect(silences).toBe(0);
  expect(armed?.at).toBe(6_500);
  now = 6_500;
  armed?.action();
  expect(silences).toBe(1);
});

it('reports the configured silence, but not while reading is paused', async () => {
  const clock = new ManualClock();
  let silences = 0;
  const watchdog = new Watchdog(clock, 100, () => {
    silences += 1;
  });
  watchdog.pause();
  await clock.advance(1_000);
  expect(silences).toBe(0);
  watchdog.resume();
  await clock.advance(99);
  expect(silences).toBe(0);
  await clock.advance(101);
  expect(silences).toBe(1);
});
