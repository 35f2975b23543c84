import { beforeEach, describe, expect, it } from 'vitest';
import { afterActive } from './activeWait.js';
import { ManualClock } from './manualClock.js';

const WAIT_MS = 500;

/** A clock whose time moves on without its timers while the process stands still. */
class StallingClock extends ManualClock {
  private skippedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.skippedMs;
  }

  stall(ms: number): void {
    this.skippedMs += ms;
  }
}

describe('a wait that counts only time at work', () => {
  let clock: StallingClock;
  let endedAt: number | undefined;
  let cancel: () => void;

  beforeEach(() => {
    clock = new StallingClock();
    endedAt = undefined;
    cancel = afterActive(clock, WAIT_MS, () => {
      endedAt = clock.monotonic();
    });
  });

  it('ends in time', async () => {
    await clock.advance(WAIT_MS - 1);
    expect(endedAt).toBeUndefined();
    await clock.advance(1);
    expect(endedAt).toBe(WAIT_MS);
  });

  // Guards against an answer that is there already, and is given up as timers run before it is read.
  it('goes on after a stall that is longer than it', async () => {
    clock.stall(2 * WAIT_MS);
    await clock.advance(WAIT_MS / 2);
    expect(endedAt).toBeUndefined();
    await clock.advance(WAIT_MS);
    expect(endedAt).toBeDefined();
  });

  it('ends at last in a process that stands still again and again', async () => {
    for (let stalls = 0; stalls < 10; stalls += 1) {
      clock.stall(WAIT_MS);
      await clock.advance(WAIT_MS / 5);
    }
    expect(endedAt).toBeDefined();
  });

  it('is called off', async () => {
    await clock.advance(WAIT_MS / 2);
    cancel();
    await clock.advance(WAIT_MS);
    expect(endedAt).toBeUndefined();
  });
});
