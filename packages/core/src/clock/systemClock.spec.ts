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
