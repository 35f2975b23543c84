/** Storage that fails for some time, at one replica or at several. */
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const clusters: MemoryCluster[] = [];

/** An event that a replica logged. */
interface LoggedEvent {
  readonly id: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

function recordingLog(events: LoggedEvent[], names = {}): Log {
  return {
    event: ({ id }, fields = {}) => events.push({ id, fields: { ...names, ...fields } }),
    with: (added) => recordingLog(events, { ...names, ...added }),
  };
}

async function started(seed: number, events: LoggedEvent[] = []): Promise<MemoryCluster> {
  const cluster = new MemoryCluster(seed, ['a', 'b', 'c'], {}, recordingLog(events));
  clusters.push(cluster);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(500);
  expect(await accepted(cluster, leaderOf(cluster), 'before')).toBe(true);
  return cluster;
}

function leaderOf(cluster: MemoryCluster): Node {
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

async function accepted(cluster: MemoryCluster, node: Node, command: string): Promise<boolean> {
  const attempt = cluster.propose(node, command, 8_000);
  await cluster.until(() => attempt.outcome !== 'open', 10_000);
  return attempt.outcome === 'done';
}

/** Refuses writes of a node's disk. */
const refuseWrites = ({ disk }: Node): void => {
  disk.writeError = 'ENOSPC';
};

const repair = ({ disk }: Node): void => {
  disk.writeError = undefined;
  disk.syncError = undefined;
};

/** Proposes a command every 50 ms for some time, so that disks are written. */
async function traffic(cluster: MemoryCluster, ms: number): Promise<void> {
  const end = cluster.clock.monotonic() + ms;
  for (let count = 0; cluster.clock.monotonic() < end; count += 1) {
    const running = cluster.nodes.filter(({ replica }) => replica !== undefined);
    const node = running[count % running.length];
    if (node !== undefined) cluster.propose(node, `t${end}-${count}`, 400);
    await cluster.clock.advance(50);
  }
}

afterEach(() => {
  for (const cluster of clusters.splice(0)) {
    expect(cluster.violations).toEqual([]);
    for (const node of cluster.nodes) cluster.crash(node);
  }
});

describe('log lines and status of a failing storage', () => {
  // Guards against a record of a failing disk that does not tell which operation failed, and when the disk worked again.
  test('name the failed operation, its error and the end', async () => {
    const events: LoggedEvent[] = [];
    const cluster = await started(1, events);
    const full = leaderOf(cluster);
    const { name } = full.address;
    refuseWrites(full);
    await traffic(cluster, 3_000);
    expect(full.replica?.status().storageFailure).toContain('the disk is full');
    const failed = events.filter(({ id }) => id === coordinationEvents.storageFailed.id);
    expect(failed[0]?.fields).toMatchObject({ name, operation: 'write', call: 'write', code: 'ENOSPC' });
    expect(failed[0]?.fields.final).toBe(false);
    const reports = await Promise.all([
      leaderOf(cluster).replica?.replicas() ?? [],
      cluster.clock.advance(1_000),
    ]);
    const report = reports[0].find((row) => row.name === name);
    expect(report?.storageFailure).toContain('the disk is full');
    repair(full);
    await traffic(cluster, 3_000);
    expect(full.replica?.status().storageFailure).toBeUndefined();
    const works = events.filter(({ id }) => id === coordinationEvents.storageWorks.id);
    expect(works).toHaveLength(1);
    expect(works[0]?.fields.failedForMs).toBeGreaterThanOrEqual(3_000);
    expect(works[0]?.fields.failedForMs).toBeLessThan(6_000);
  });
});
