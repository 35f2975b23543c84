import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../clock/index.js';
import { StallWatch } from './stallWatch.js';
import type { Stall } from './stallWatch.js';

/** A clock whose time moves without its timers, as it does for a process that stands still. */
class StallingClock extends ManualClock {
  private skippedMs = 0;
  private jumpedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.skippedMs;
  }

  override now(): Date {
    return new Date(super.now().getTime() + this.skippedMs + this.jumpedMs);
  }

  standStill(ms: number): void {
    this.skippedMs += ms;
  }

  /** The machine is suspended, and its monotonic clock with it. */
  suspend(ms: number): void {
    this.jumpedMs += ms;
  }
}

const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe('a watch over the event loop', () => {
  let clock: StallingClock;
  let stalls: Stall[];
  /** Processor time of the process, milliseconds. */
  let used: number;
  let watch: StallWatch;

  beforeEach(() => {
    clock = new StallingClock();
    stalls = [];
    used = 0;
    watch = new StallWatch(
      clock,
      (stall) => stalls.push(stall),
      () => used,
    );
    watch.start();
  });

  afterEach(() => {
    watch.stop();
  });

  it('sees nothing while its looks come in time', async () => {
    await clock.advance(1_000);
    expect(watch.current()).toBeUndefined();
    expect(watch.readSince()).toBe(1_000);
    expect(stalls).toEqual([]);
  });

  it('knows of a stall before its next look, and since when it may be', async () => {
    await clock.advance(500);
    clock.standStill(2_000);
    used = 300;
    expect(watch.current()).toBeDefined();
    expect(watch.readSince()).toBe(500);
    expect(stalls).toEqual([{ from: 500, ms: 1_900, usedMs: 300 }]);
  });

  it('is caught up some turns later', async () => {
    clock.standStill(2_000);
    await watch.caughtUp();
    await turns(2);
    expect(watch.current()).toBeUndefined();
    expect(watch.readSince()).toBe(2_000);
  });

  it('goes on reading while connections are taken', async () => {
    clock.standStill(2_000);
    expect(watch.current()).toBeDefined();
    for (let taken = 0; taken < 50; taken += 1) {
      watch.noteConnection();
      await turns(1);
    }
    expect(watch.readSince()).toBe(0);
    await turns(6);
    expect(watch.readSince()).toBe(2_000);
  });

  it('sees a stall in which the monotonic clock stood still too', async () => {
    await clock.advance(500);
    clock.suspend(3_000);
    expect(watch.current()).toBeDefined();
    expect(watch.readSince()).toBe(500);
    await watch.caughtUp();
    expect(stalls).toHaveLength(1);
  });

  it('reports each stall once', async () => {
    clock.standStill(400);
    watch.current();
    await clock.advance(200);
    clock.standStill(400);
    await clock.advance(200);
    expect(stalls).toHaveLength(2);
  });
});
