import { beforeEach, describe, expect, it } from 'vitest';
import { afterActive } from './activeWait.js';
import { ManualClock } from './manualClock.js';

const WAIT_MS = 500;

/** A clock whose time can advance without its timers, as in a stalled process. */
class StallingClock extends ManualClock {
  private skippedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.skippedMs;
  }

  stall(ms: number): void {
    this.skippedMs += ms;
  }
}

describe('afterActive', () => {
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

  it('runs the action after the wait', async () => {
    await clock.advance(WAIT_MS - 1);
    expect(endedAt).toBeUndefined();
    await clock.advance(1);
    expect(endedAt).toBe(WAIT_MS);
  });

  // Guards against a timeout although the response has arrived: after a stall, timers run before input is read.
  it('continues to wait after a stall that is longer than the wait', async () => {
    clock.stall(2 * WAIT_MS);
    await clock.advance(WAIT_MS / 2);
    expect(endedAt).toBeUndefined();
    await clock.advance(WAIT_MS);
    expect(endedAt).toBeDefined();
  });

  it('ends in a process that stalls again and again', async () => {
    for (let stalls = 0; stalls < 10; stalls += 1) {
      clock.stall(WAIT_MS);
      await clock.advance(WAIT_MS / 5);
    }
    expect(endedAt).toBeDefined();
  });

  it('does not run the action once cancelled', async () => {
    await clock.advance(WAIT_MS / 2);
    cancel();
    await clock.advance(WAIT_MS);
    expect(endedAt).toBeUndefined();
  });
});
