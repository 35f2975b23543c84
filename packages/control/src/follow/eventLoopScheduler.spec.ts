import { setImmediate } from 'node:timers/promises';
import { ManualClock } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { EventLoopScheduler } from './eventLoopScheduler.js';

const FOLLOWERS = 60;

/** Longer than the time that tasks have in one iteration of the event loop, milliseconds. */
const LONG_MS = 20;

describe('EventLoopScheduler', () => {
  let clock: ManualClock;
  let scheduler: EventLoopScheduler;
  let resumed: string[];

  beforeEach(() => {
    clock = new ManualClock();
    scheduler = new EventLoopScheduler(clock);
    resumed = [];
  });

  const add = (name: string, workMs = 0, priority: 'control' | 'told' = 'told'): void => {
    const names = resumed;
    void scheduler.next(priority).then(() => {
      names.push(name);
      void clock.advance(workMs);
    });
  };

  const iterations = async (count: number): Promise<void> => {
    for (let done = 0; done < count; done += 1) await setImmediate();
  };

  // Guards against followers that give up their streams because the event loop of a busy instance makes few iterations a second, and
  // only one follower is told something in each.
  it('resumes many short tasks in a few iterations', async () => {
    for (let follower = 0; follower < FOLLOWERS; follower += 1) add(`f${follower}`);
    await iterations(6);
    expect(resumed).toHaveLength(FOLLOWERS);
  });

  it('resumes one long task in an iteration', async () => {
    for (let follower = 0; follower < FOLLOWERS; follower += 1) add(`f${follower}`, LONG_MS);
    await iterations(6);
    expect(resumed.length).toBeGreaterThan(0);
    expect(resumed.length).toBeLessThanOrEqual(6);
  });

  it('resumes streams of control instances first', async () => {
    add('follower');
    add('control', 0, 'control');
    await iterations(4);
    expect(resumed).toEqual(['control', 'follower']);
  });
});
