/** The quorum window of a leader that was stalled. */
import type { Log } from '@jasmineroute/core';
import { expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { MemoryCluster } from '../testing/index.js';

const SEEDS = Array.from({ length: 40 }, (_, at) => at + 1);

const LEADER_TIMEOUT_MS = 10_000;

/** Number of commands in flight when the leader stalls, and the interval between them, milliseconds. */
const COMMANDS = 8;
const COMMAND_INTERVAL_MS = 2;

/** Length of the stall of the leader, milliseconds. */
const STALL_MS = 900;

/** Start of the voters' stall after that of the leader, and its length, milliseconds. */
const VOTERS_AFTER_MS = 90;
const VOTERS_FOR_MS = 1_480;

const WATCH_MS = 1_700;

// Guards against commits that shorten the extended window again at once, as each of them wakes the task that checks the
// quorum.
test.each([0, COMMANDS])('is extended by the stall with %i commands in flight', async (commands) => {
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
    expect(await cluster.until(() => cluster.leader() !== undefined, LEADER_TIMEOUT_MS)).toBe(true);
    await cluster.clock.advance(3_000);
    const leader = cluster.leader();
    if (leader === undefined) throw new Error('no leader');
    for (let count = 0; count < commands; count += 1) {
      cluster.propose(leader, count.toString());
      await cluster.clock.advance(COMMAND_INTERVAL_MS);
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
