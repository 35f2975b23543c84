/** The time in which a quorum must answer a leader that stood still. */
import type { Log } from '@jasmineroute/core';
import { expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { MemoryCluster } from '../testing/index.js';

const SEEDS = Array.from({ length: 40 }, (_, at) => at + 1);

const PATIENCE_MS = 10_000;

/** Commands that are on their way when the leader stops, each proposed so long after the one before, milliseconds. */
const COMMANDS = 8;
const APART_MS = 2;

/** How long the leader stands still, milliseconds. */
const STALL_MS = 900;

/** When the voters stand still, counted from the leader's stall, and for how long; milliseconds. */
const VOTERS_AFTER_MS = 90;
const VOTERS_FOR_MS = 1_480;

const WATCH_MS = 1_700;

// Guards against a widened window that commits narrow again at once, as each of them wakes the task that looks.
test.each([0, COMMANDS])('is as much longer after %i commands', async (commands) => {
  const lost: number[] = [];
  for (const seed of SEEDS) {
    const reasons: unknown[] = [];
    const log: Log = {
      event: ({ id }, fields) => {
        if (id === coordinationEvents.steppedDown.id) reasons.push(fields?.reason);
      },
      with: () => log,
    };
    const cluster = new MemoryCluster(seed, ['a', 'b', 'c'], {}, log);
    await cluster.startAll();
    expect(await cluster.until(() => cluster.leader() !== undefined, PATIENCE_MS)).toBe(true);
    await cluster.clock.advance(3_000);
    const leader = cluster.leader();
    if (leader === undefined) throw new Error('no leader');
    for (let count = 0; count < commands; count += 1) {
      cluster.propose(leader, count.toString());
      await cluster.clock.advance(APART_MS);
    }
    cluster.stall(leader, STALL_MS);
    const voters = cluster.nodes.filter((node) => node !== leader);
    cluster.clock.after(VOTERS_AFTER_MS, () => {
      for (const voter of voters) cluster.stall(voter, VOTERS_FOR_MS);
    });
    await cluster.clock.advance(WATCH_MS);
    if (reasons.includes('no answers of a quorum')) lost.push(seed);
    for (const node of cluster.nodes) cluster.crash(node);
    expect(cluster.violations).toEqual([]);
  }
  expect(lost).toEqual([]);
});
