import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../clock/index.js';
import { StallWatch } from './stallWatch.js';
import type { Stall } from './stallWatch.js';

/** A clock whose time can advance without its timers, as in a stalled process. */
class StallingClock extends ManualClock {
  private skippedMs = 0;
  private jumpedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.skippedMs;
  }

  override now(): Date {
    return new Date(super.now().getTime() + this.skippedMs + this.jumpedMs);
  }

  stall(ms: number): void {
    this.skippedMs += ms;
  }

  /** Suspends the machine, which stops its monotonic clock. */
  suspend(ms: number): void {
    this.jumpedMs += ms;
  }
}

const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe('StallWatch', () => {
  let clock: StallingClock;
  let stalls: Stall[];
  /** Processor time of the process, milliseconds. */
  let processorMs: number;
  let watch: StallWatch;

  beforeEach(() => {
    clock = new StallingClock();
    stalls = [];
    processorMs = 0;
    watch = new StallWatch(
      clock,
      (stall) => stalls.push(stall),
      () => processorMs,
    );
    watch.start();
  });

  afterEach(() => {
    watch.stop();
  });

  it('reports no stall while its checks are on time', async () => {
    await clock.advance(1_000);
    expect(watch.current()).toBeUndefined();
    expect(watch.earliestArrival()).toBe(1_000);
    expect(stalls).toEqual([]);
  });

  it('detects a stall before its next check, and its earliest start', async () => {
    await clock.advance(500);
    clock.stall(2_000);
    processorMs = 300;
    expect(watch.current()).toBeDefined();
    expect(watch.earliestArrival()).toBe(500);
    expect(stalls).toEqual([{ from: 500, ms: 1_900, usedMs: 300 }]);
  });

  it('has caught up some turns later', async () => {
    clock.stall(2_000);
    await watch.waitUntilCaughtUp();
    await turns(2);
    expect(watch.current()).toBeUndefined();
    expect(watch.earliestArrival()).toBe(2_000);
  });

  it('has not caught up while connections are accepted', async () => {
    clock.stall(2_000);
    expect(watch.current()).toBeDefined();
    for (let accepted = 0; accepted < 50; accepted += 1) {
      watch.recordConnection();
      await turns(1);
    }
    expect(watch.earliestArrival()).toBe(0);
    await turns(6);
    expect(watch.earliestArrival()).toBe(2_000);
  });

  it('detects a stall in which the monotonic clock stopped too', async () => {
    await clock.advance(500);
    clock.suspend(3_000);
    expect(watch.current()).toBeDefined();
    expect(watch.earliestArrival()).toBe(500);
    await watch.waitUntilCaughtUp();
    expect(stalls).toHaveLength(1);
  });

  it('reports each stall once', async () => {
    clock.stall(400);
    watch.current();
    await clock.advance(200);
    clock.stall(400);
    await clock.advance(200);
    expect(stalls).toHaveLength(2);
  });
});
