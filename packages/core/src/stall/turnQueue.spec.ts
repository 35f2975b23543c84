import { setImmediate } from 'node:timers/promises';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../clock/index.js';
import { TurnQueue } from './turnQueue.js';

/** Longer than the time for which requests are handled in a row, milliseconds. */
const LONG_MS = 20;

describe('TurnQueue', () => {
  let clock: ManualClock;
  let hasBacklog: boolean;
  let begun: number[];
  let queue: TurnQueue;

  const add = (id: number, workMs = 0): void => {
    queue.run(() => {
      begun.push(id);
      void clock.advance(workMs);
    });
  };

  const turns = async (count: number): Promise<void> => {
    for (let turn = 0; turn < count; turn += 1) await setImmediate();
  };

  beforeEach(() => {
    clock = new ManualClock();
    hasBacklog = false;
    begun = [];
    queue = new TurnQueue(clock, () => hasBacklog);
  });

  it('begins at once while there is time', () => {
    add(1);
    add(2);
    expect(begun).toEqual([1, 2]);
  });

  it('begins what exceeds the time of a turn in later ones, in order', async () => {
    add(1, LONG_MS);
    add(2, LONG_MS);
    add(3);
    add(4);
    expect(begun).toEqual([1]);
    await turns(8);
    expect(begun).toEqual([1, 2, 3, 4]);
  });

  it('begins nothing while connections wait to be accepted', async () => {
    hasBacklog = true;
    add(1);
    await turns(5);
    expect(begun).toEqual([]);
    hasBacklog = false;
    await turns(3);
    expect(begun).toEqual([1]);
  });

  // Guards against requests that never begin while new connections keep arriving.
  it('begins what has waited for long although connections wait to be accepted', async () => {
    hasBacklog = true;
    add(1);
    add(2);
    await clock.advance(150);
    await turns(5);
    expect(begun).toEqual([1, 2]);
  });
});
