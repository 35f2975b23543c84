/** A stall of the storage that all replicas share, a little longer than the limit of a call. */
import { silentLog } from '@jasmineroute/core';
import { expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';

// Guards against commands whose outcome is unknown after a short stall of all disks.
test.each([500, 900, 1_300])('a command is answered after all disks stood still for %i ms', async (ms) => {
  const cluster = new MemoryCluster(1, ['a', 'b', 'c'], {}, silentLog);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(500);
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  const releases = cluster.nodes.map(({ disk }) => disk.hang());
  const attempt = cluster.propose(leader, 'stalled', 8_000);
  await cluster.clock.advance(ms);
  for (const release of releases) release();
  await cluster.until(() => attempt.outcome !== 'open', 10_000);
  for (let tries = 1, isDone = false; !isDone && tries < 1_000; tries += 1) {
    const next = cluster.propose(cluster.leader() ?? leader, `next ${tries}`, 8_000);
    await cluster.until(() => next.outcome !== 'open', 10_000);
    isDone = next.outcome === 'done';
  }
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
  expect(attempt.outcome).toBe('done');
});
