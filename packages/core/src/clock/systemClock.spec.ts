import { expect, it } from 'vitest';
import { systemClock } from './systemClock.js';

// Guards against requests whose time is over at once, as a route allows them longer than a timer of the runtime takes.
it('a timer for longer than the runtime takes does not fire at once', async () => {
  let hasFired = false;
  const abort = new AbortController();
  const note = (): void => {
    hasFired = true;
  };
  const cancel = systemClock.after(1e12, note);
  const slept = systemClock.sleep(1e12, abort.signal).then(note, () => undefined);
  await systemClock.sleep(30);
  expect(hasFired).toBe(false);
  cancel();
  abort.abort();
  await slept;
});

// Guards against a wait that ends before its time, as the runtime counts whole milliseconds and drops fractions.
it.each([3, 3.9, 10])('a timer for %d ms does not fire early', async (ms) => {
  const waits: Promise<number>[] = [];
  for (let at = 0; at < 200; at += 1) {
    const begun = systemClock.monotonic();
    const elapsed = (): number => systemClock.monotonic() - begun;
    waits.push(systemClock.sleep(ms).then(elapsed));
    waits.push(
      new Promise((resolve) => {
        systemClock.after(ms, () => {
          resolve(elapsed());
        });
      }),
    );
    await new Promise((resolve) => setImmediate(resolve));
  }
  expect(Math.min(...(await Promise.all(waits)))).toBeGreaterThanOrEqual(ms);
});
