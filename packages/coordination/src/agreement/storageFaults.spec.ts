/** Storage that fails for some time, at one replica or at several. */
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import type { FailingCall } from '../storage/index.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const SEEDS = [1, 2, 3];

/** Time within which a read must be answered after the storage works again, or while it fails. */
const CONTACT_MS = 3_000;

/** Time within which a sound replica takes over from a leader with a full disk: two ranks and an election. */
const TAKEOVER_MS = 1_500;

/** Time within which a read is answered where there is a leader. */
const TAKEOVER_GAP_MS = 500;

/** Unit in which a file takes space. */
const BLOCK_BYTES = 4_096;

/** Timeout of one query. */
const QUERY_MS = 900;

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

async function started(
  seed: number,
  events: LoggedEvent[] = [],
  names = ['a', 'b', 'c'],
): Promise<MemoryCluster> {
  const cluster = new MemoryCluster(seed, names, {}, recordingLog(events));
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

const runningNodes = (cluster: MemoryCluster): Node[] =>
  cluster.nodes.filter(({ replica }) => replica !== undefined);

const followersOf = (cluster: MemoryCluster): Node[] =>
  runningNodes(cluster).filter((node) => node !== cluster.leader());

async function accepted(cluster: MemoryCluster, node: Node, command: string): Promise<boolean> {
  const attempt = cluster.propose(node, command, 8_000);
  await cluster.until(() => attempt.outcome !== 'open', 10_000);
  return attempt.outcome === 'done';
}

/** Queries all running replicas until one answers. @returns the milliseconds until then; Infinity beyond the limit. */
async function firstReadMs(cluster: MemoryCluster, limitMs = CONTACT_MS): Promise<number> {
  const startedAt = cluster.clock.monotonic();
  const elapsedMs = (): number => cluster.clock.monotonic() - startedAt;
  while (elapsedMs() < limitMs) {
    const queries = runningNodes(cluster).map((node) => cluster.query(node, QUERY_MS));
    const isAnswered = (): boolean => queries.some(({ outcome }) => outcome === 'answered');
    const isRefused = (): boolean => queries.every(({ outcome }) => outcome === 'refused');
    await cluster.until(() => isAnswered() || isRefused(), limitMs - elapsedMs());
    if (isAnswered()) return elapsedMs();
    await cluster.clock.advance(10);
  }
  return Infinity;
}

/** Refuses writes of a node's disk. */
const refuseWrites = ({ disk }: Node): void => {
  disk.writeError = 'ENOSPC';
};

const refuseSyncs = ({ disk }: Node): void => {
  disk.syncError = 'ENOSPC';
};

/** Fails a call, and writes with it. */
const refuseCall =
  (call: FailingCall) =>
  (node: Node): void => {
    refuseWrites(node);
    node.disk.callErrors[call] = 'ENOSPC';
  };

const repair = ({ disk }: Node): void => {
  disk.writeError = undefined;
  disk.syncError = undefined;
  for (const call of Object.keys(disk.callErrors)) disk.callErrors[call as FailingCall] = undefined;
};

/** Expects a leader that accepts a command in time. */
async function expectCommand(cluster: MemoryCluster): Promise<void> {
  const end = cluster.clock.monotonic() + CONTACT_MS;
  for (let count = 0; cluster.clock.monotonic() < end; count += 1) {
    const leader = cluster.leader();
    if (leader !== undefined && (await accepted(cluster, leader, `afterwards ${count}`))) return;
    await cluster.clock.advance(50);
  }
  expect.fail('no command was accepted in time');
}

const crash = (cluster: MemoryCluster, nodes: readonly Node[]): void => {
  for (const node of nodes) cluster.crash(node);
};

/** Proposes a command every 50 ms for some time, so that disks are written. */
async function traffic(cluster: MemoryCluster, ms: number): Promise<void> {
  const end = cluster.clock.monotonic() + ms;
  for (let count = 0; cluster.clock.monotonic() < end; count += 1) {
    const running = runningNodes(cluster);
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

const faults = [
  { fault: 'refused syncs', refuse: refuseSyncs },
  { fault: 'refused writes that leave a part', refuse: refuseCall('truncate') },
  { fault: 'refused syncs of the folder', refuse: refuseCall('syncFolder') },
  { fault: 'refused writes and renames', refuse: refuseCall('rename') },
  { fault: 'refused writes and no file opened', refuse: refuseCall('open') },
];

const sizes = [
  { size: 3, names: ['a', 'b', 'c'] },
  { size: 5, names: ['a', 'b', 'c', 'd', 'e'] },
];

describe.each(faults)('after $fault', ({ refuse }) => {
  // Guards against a replica that answers, but neither writes nor votes any more for as long as its process lives: the next loss
  // of a replica leaves no majority.
  test.each(SEEDS.flatMap((seed) => sizes.map((size) => ({ seed, ...size }))))(
    'at as many as may be lost, others may be lost later (seed $seed, $size replicas)',
    async ({ seed, names }) => {
      const cluster = await started(seed, [], names);
      const ill = followersOf(cluster).slice(0, (names.length - 1) / 2);
      for (const node of ill) refuse(node);
      await traffic(cluster, 1_000);
      for (const node of ill) repair(node);
      await traffic(cluster, 15_000);
      const sound = followersOf(cluster).filter((node) => !ill.includes(node));
      crash(cluster, [leaderOf(cluster), ...sound.slice(1)]);
      expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
      await expectCommand(cluster);
    },
  );

  // Guards against a shared file system that was full for a second and leaves no replica that votes.
  test.each(SEEDS)('at all replicas, a read is answered in time (seed %i)', async (seed) => {
    const cluster = await started(seed);
    for (const node of cluster.nodes) refuse(node);
    await traffic(cluster, 1_000);
    for (const node of cluster.nodes) repair(node);
    expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
    await cluster.clock.advance(5_000);
    expect(await accepted(cluster, leaderOf(cluster), 'after')).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  });
});

// Guards against an acknowledged command that is lost with the power: the process that wrote it was ended before its sync, and
// the next one acknowledged what it found.
test.each(SEEDS)(
  'what an ended process had not synced is not acknowledged before it is (seed %i)',
  async (seed) => {
    const cluster = await started(seed);
    const leader = leaderOf(cluster);
    const [ended, down] = followersOf(cluster);
    if (ended === undefined || down === undefined) throw new Error('no followers');
    cluster.crash(down);
    ended.disk.syncDelay = () => new Promise(() => undefined);
    const attempt = cluster.propose(leader, 'unsynced', 8_000);
    await cluster.clock.advance(300);
    cluster.endProcess(ended);
    await cluster.start(ended);
    await cluster.until(() => attempt.outcome !== 'open', 9_000);
    expect(attempt.outcome).toBe('done');
    crash(cluster, [leader, ended]);
    await cluster.start(ended);
    await cluster.start(down);
    expect(await cluster.until(() => cluster.leader() !== undefined, 5_000)).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  },
);

// Guards against commands that run although they were reported as not run: a refused write left them on the disk, and could not
// be taken back before the process ended.
test.each(SEEDS)('what stays of a refused write is not reported as not run (seed %i)', async (seed) => {
  const cluster = await started(seed);
  const leader = leaderOf(cluster);
  refuseCall('truncate')(leader);
  const attempts = Array.from({ length: 8 }, (_, count) => cluster.propose(leader, `left ${count}`));
  await cluster.until(() => attempts.every(({ outcome }) => outcome !== 'open'), 5_000);
  expect(attempts.map(({ outcome }) => outcome)).not.toContain('done');
  const others = followersOf(cluster);
  crash(cluster, others);
  cluster.endProcess(leader);
  repair(leader);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 5_000)).toBe(true);
  await cluster.clock.advance(1_000);
  cluster.checkFinalState();
});

describe('after a full disk', () => {
  // Guards against a fixed pause of all replicas that outlasts the fault.
  test.each(SEEDS)('at all replicas, a read is answered in time (seed %i)', async (seed) => {
    const cluster = await started(seed);
    for (const node of cluster.nodes) refuseWrites(node);
    await traffic(cluster, 4_000);
    for (const node of cluster.nodes) repair(node);
    expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
    await expectCommand(cluster);
  });

  // Guards against a fixed pause of the only replica that has the newest entries and can be elected.
  test.each(SEEDS)(
    'of the only one that can be elected, a read is answered in time (seed %i)',
    async (seed) => {
      const cluster = await started(seed);
      const full = leaderOf(cluster);
      const [behind, other] = followersOf(cluster);
      if (behind === undefined || other === undefined) throw new Error('no followers');
      for (const node of [full, other]) cluster.network.cut(behind.address.address, node.address.address);
      expect(await accepted(cluster, full, 'newest')).toBe(true);
      refuseWrites(full);
      await traffic(cluster, 500);
      repair(full);
      cluster.crash(other);
      cluster.network.heal();
      expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
      await expectCommand(cluster);
    },
  );
});

// Guards against a process that ends at its start on a full disk, and is missing where reads need its answers.
test.each(SEEDS)(
  'a process that starts on a full disk answers reads, says so, and writes when there is space (seed %i)',
  async (seed) => {
    const cluster = await started(seed);
    const [full, lost] = followersOf(cluster);
    if (full === undefined || lost === undefined) throw new Error('no followers');
    cluster.endProcess(full);
    refuseWrites(full);
    full.disk.refusesNewFiles = true;
    for (const call of ['rename', 'remove', 'truncate', 'syncFolder'] as const)
      full.disk.callErrors[call] = 'ENOSPC';
    await cluster.start(full);
    cluster.crash(lost);
    await traffic(cluster, 1_000);
    expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
    const query = cluster.query(full, CONTACT_MS);
    await cluster.until(() => query.outcome !== 'open', CONTACT_MS);
    expect(query.outcome).toBe('answered');
    expect(full.replica?.status().storageFailure).toContain('the disk is full');
    repair(full);
    full.disk.refusesNewFiles = false;
    await cluster.clock.advance(1_500);
    await expectCommand(cluster);
    expect(full.replica?.status().storageFailure).toBeUndefined();
  },
);

describe('elections', () => {
  // Guards against terms that rise in vain, and depose a leader that is back: a candidate gets a pre-vote, but no vote, from a
  // replica that can't save one.
  test.each(SEEDS)('no term is raised for a vote that can not be saved (seed %i)', async (seed) => {
    const cluster = await started(seed);
    const [full, sound] = followersOf(cluster);
    if (full === undefined) throw new Error('no follower');
    refuseWrites(full);
    await traffic(cluster, 500);
    const term = sound?.replica?.status().term;
    cluster.crash(leaderOf(cluster));
    await cluster.clock.advance(5_000);
    expect(sound?.replica?.status().term).toBe(term);
  });

  // Guards against a leader whose disk fails again and again, although another replica has a sound one.
  test.each(SEEDS)('a replica whose disk failed stands after the others (seed %i)', async (seed) => {
    const cluster = await started(seed);
    const leader = leaderOf(cluster);
    const [first, second] = followersOf(cluster);
    if (first === undefined || second === undefined) throw new Error('no followers');
    refuseWrites(first);
    await traffic(cluster, 500);
    repair(first);
    await traffic(cluster, 2_000);
    cluster.crash(leader);
    await cluster.until(() => ![undefined, leader].includes(cluster.leader()), 5_000);
    expect(cluster.leader()).toBe(second);
  });
});

describe('while a disk is full', () => {
  /** Expects reads all the while. */
  async function expectReads(cluster: MemoryCluster): Promise<void> {
    for (let round = 0; round < 4; round += 1) {
      expect(await firstReadMs(cluster)).toBeLessThanOrEqual(CONTACT_MS);
      await traffic(cluster, 1_000);
    }
  }

  // Guards against a leader that gives up its leadership, which nobody else can take over, at its first refused write.
  test.each(SEEDS)('at the leader and a follower is lost, reads are answered (seed %i)', async (seed) => {
    const cluster = await started(seed);
    refuseWrites(leaderOf(cluster));
    crash(cluster, followersOf(cluster).slice(0, 1));
    await traffic(cluster, 500);
    await expectReads(cluster);
  });

  // Guards against the same where two of five are full and two are lost.
  test.each(SEEDS)(
    'at the leader and another, and two are lost, reads are answered (seed %i)',
    async (seed) => {
      const cluster = await started(seed, [], ['a', 'b', 'c', 'd', 'e']);
      refuseWrites(leaderOf(cluster));
      const [full, ...others] = followersOf(cluster);
      if (full !== undefined) refuseWrites(full);
      crash(cluster, others.slice(0, 2));
      await traffic(cluster, 500);
      await expectReads(cluster);
    },
  );

  // Guards against a leader that keeps leading and accepts nothing, and against a gap without a leader.
  test.each(SEEDS)(
    'at the leader, a sound replica takes over in time, and reads go on (seed %i)',
    async (seed) => {
      const cluster = await started(seed);
      const full = leaderOf(cluster);
      refuseWrites(full);
      const refused = cluster.propose(full, 'refused', 50);
      await cluster.until(() => refused.outcome !== 'open', 100);
      expect(refused.outcome).toBe('not-run');
      expect(cluster.leader()).toBe(full);
      expect(await firstReadMs(cluster)).toBeLessThanOrEqual(TAKEOVER_GAP_MS);
      const hasSoundLeader = (): boolean => ![undefined, full].includes(cluster.leader());
      expect(await cluster.until(hasSoundLeader, TAKEOVER_MS)).toBe(true);
      expect(await accepted(cluster, full, 'forwarded')).toBe(true);
      expect(await firstReadMs(cluster)).toBeLessThanOrEqual(TAKEOVER_GAP_MS);
    },
  );

  // Guards against a leader that stays because its disk takes short writes, and refuses all long commands.
  test.each(SEEDS)(
    'at the leader for long writes only, a sound replica takes over (seed %i)',
    async (seed) => {
      const cluster = await started(seed);
      const full = leaderOf(cluster);
      full.disk.capacityBytes = full.disk.usedBytes() + 2 * BLOCK_BYTES;
      const long = 'long '.repeat(BLOCK_BYTES);
      const refused = cluster.propose(full, long, 50);
      await cluster.until(() => refused.outcome !== 'open', 100);
      expect(refused.outcome).toBe('not-run');
      const hasSoundLeader = (): boolean => ![undefined, full].includes(cluster.leader());
      expect(await cluster.until(hasSoundLeader, TAKEOVER_MS)).toBe(true);
      expect(await accepted(cluster, leaderOf(cluster), long)).toBe(true);
    },
  );

  // Guards against a configuration that can't be read because a vote can't be saved, although no read needs a write.
  test.each(SEEDS)('at a follower and the leader is lost, reads are answered (seed %i)', async (seed) => {
    const cluster = await started(seed);
    const [full] = followersOf(cluster);
    if (full === undefined) throw new Error('no follower');
    await cluster.clock.advance(500);
    refuseWrites(full);
    cluster.crash(leaderOf(cluster));
    await expectReads(cluster);
  });

  // Guards against the same where two of five are full and two are lost.
  test.each(SEEDS)(
    'at two followers and the leader and another are lost, reads are answered (seed %i)',
    async (seed) => {
      const cluster = await started(seed, [], ['a', 'b', 'c', 'd', 'e']);
      const [first, second, lost] = followersOf(cluster);
      if (first === undefined || second === undefined || lost === undefined) throw new Error('no followers');
      refuseWrites(first);
      refuseWrites(second);
      await traffic(cluster, 1_000);
      await cluster.clock.advance(500);
      crash(cluster, [leaderOf(cluster), lost]);
      await expectReads(cluster);
    },
  );

  // Guards against an answer without a leader that lacks a command: the replica has not received it, or does not know that it
  // was committed.
  test.each(SEEDS)('a replica that may lack a committed command answers no read (seed %i)', async (seed) => {
    const cluster = await started(seed);
    const leader = leaderOf(cluster);
    const [full, behind] = followersOf(cluster);
    if (full === undefined || behind === undefined) throw new Error('no followers');
    for (const node of [leader, full]) {
      cluster.network.cut(behind.address.address, node.address.address);
    }
    expect(await accepted(cluster, leader, 'only at two')).toBe(true);
    await cluster.clock.advance(500);
    refuseWrites(full);
    cluster.crash(leader);
    cluster.network.heal();
    await cluster.clock.advance(1_000);
    const outcomes = [cluster.query(behind, QUERY_MS), cluster.query(full, QUERY_MS)];
    await cluster.clock.advance(2 * QUERY_MS);
    expect(outcomes.map(({ outcome }) => outcome)).toEqual(['refused', 'answered']);
  });

  // Guards against an answer that a later leader takes back: an entry that was not committed is on this replica only.
  test.each(SEEDS)(
    'a replica with an entry that may not be committed answers no read (seed %i)',
    async (seed) => {
      const cluster = await started(seed);
      const leader = leaderOf(cluster);
      const [full, sound] = followersOf(cluster);
      if (full === undefined || sound === undefined) throw new Error('no followers');
      leader.disk.syncDelay = () => new Promise(() => undefined);
      refuseWrites(full);
      const attempt = cluster.propose(leader, 'at one', 300);
      await cluster.clock.advance(400);
      expect(attempt.outcome).toBe('may-have-run');
      cluster.crash(leader);
      await cluster.clock.advance(1_000);
      const query = cluster.query(sound, QUERY_MS);
      await cluster.clock.advance(2 * QUERY_MS);
      expect(query.outcome).toBe('refused');
    },
  );
});
