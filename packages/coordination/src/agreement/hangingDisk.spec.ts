/** Disks that hang: an operation neither fails nor returns for some time, or never. */
import { createClient } from '@connectrpc/connect';
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { Agreement } from '../gen/agreement/agreement_pb.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const SEEDS = [1, 2, 3];

/** Time within which a read must be answered while a disk hangs, and after that. */
const CONTACT_MS = 3_000;

/** Time within which a read is answered where there is a leader. */
const READ_MS = 500;

/** Time within which a disk counts as hanging. */
const NOTICE_MS = 1_500;

/** Time within which a sound replica takes over from a leader whose disk hangs. */
const TAKEOVER_MS = NOTICE_MS + 1_500;

/** Time within which what needs no disk is answered. */
const ANSWER_MS = 300;

/** Timeout of one query. */
const QUERY_MS = 900;

/** An event that a replica logged. */
interface LoggedEvent {
  readonly id: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

const recordingLog = (events: LoggedEvent[], names = {}): Log => ({
  event: ({ id }, fields = {}) => events.push({ id, fields: { ...names, ...fields } }),
  with: (added) => recordingLog(events, { ...names, ...added }),
});

/** How long a disk hangs, and whether what has waited fails then. */
const hangs = [
  { hang: '2 s', ms: 2_000, code: undefined },
  { hang: '8 s', ms: 8_000, code: undefined },
  { hang: '20 s', ms: 20_000, code: undefined },
  { hang: '8 s, then fails', ms: 8_000, code: 'EIO' },
];

const rows = SEEDS.flatMap((seed) => hangs.map((row) => ({ seed, ...row })));

let events: LoggedEvent[] = [];
let cluster: MemoryCluster;

async function started(seed: number, names = ['a', 'b', 'c']): Promise<void> {
  events = [];
  cluster = new MemoryCluster(seed, names, {}, recordingLog(events));
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(500);
  expect(await accepted(leaderOf(), 'before')).toBe(true);
  await cluster.clock.advance(500);
}

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

function leaderOf(): Node {
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

const running = (): Node[] => cluster.nodes.filter(({ replica }) => replica !== undefined);

function followers(): [Node, Node, ...Node[]] {
  const [first, second, ...others] = running().filter((node) => node !== cluster.leader());
  if (first === undefined || second === undefined) throw new Error('no followers');
  return [first, second, ...others];
}

async function accepted(node: Node, command: string, limitMs = 8_000): Promise<boolean> {
  const attempt = cluster.propose(node, command, limitMs);
  await cluster.until(() => attempt.outcome !== 'open', limitMs + 2_000);
  return attempt.outcome === 'done';
}

/** @returns the milliseconds until each of the replicas has answered a read; Infinity beyond the limit. */
async function readMs(nodes: readonly Node[], limitMs = CONTACT_MS): Promise<number> {
  const startedAt = cluster.clock.monotonic();
  const elapsedMs = (): number => cluster.clock.monotonic() - startedAt;
  let waiting = nodes.map((node) => ({ node, query: cluster.query(node, QUERY_MS) }));
  const isOver = (): boolean => waiting.every(({ query }) => query.outcome === 'answered');
  while (elapsedMs() < limitMs) {
    await cluster.clock.advance(10);
    if (isOver()) return elapsedMs();
    waiting = waiting.map(({ node, query }) =>
      query.outcome === 'refused' ? { node, query: cluster.query(node, QUERY_MS) } : { node, query },
    );
  }
  return Infinity;
}

/** Proposes a command every 50 ms for some time, so that disks are written. */
async function traffic(ms: number, nodes: readonly Node[] = running()): Promise<void> {
  const end = cluster.clock.monotonic() + ms;
  for (let count = 0; cluster.clock.monotonic() < end; count += 1) {
    const node = nodes[count % nodes.length];
    if (node !== undefined) cluster.propose(node, `t${end}-${count}`, 400);
    await cluster.clock.advance(50);
  }
}

/** Expects that the others know the state of a replica in time. */
async function expectIdentified(node: Node): Promise<void> {
  for (const other of running().filter((one) => one !== node)) {
    let isReachable = false;
    void other.replica?.replicas().then((reports) => {
      isReachable = reports.find(({ name }) => name === node.address.name)?.reachable ?? false;
    });
    expect(await cluster.until(() => isReachable, ANSWER_MS)).toBe(true);
  }
}

/** Expects that a replica answers in time that it does not vote. */
async function expectVoteRefused({ address }: Node): Promise<void> {
  const client = createClient(Agreement, cluster.network.connect('candidate', address.address));
  let isGranted: boolean | undefined;
  const position = { term: 1n, lastIndex: 1n, lastTerm: 1n };
  const request = { clusterId: 'other', candidate: 'candidate', replicaId: 'candidate', ...position };
  void client.vote(request).then(({ granted }) => {
    isGranted = granted;
  });
  await cluster.until(() => isGranted !== undefined, ANSWER_MS);
  expect(isGranted).toBe(false);
}

/** Connections to a replica that others have closed for lack of an answer. */
const dropped = (node: Node): number =>
  events.filter(
    ({ id, fields }) =>
      id === coordinationEvents.connectionDropped.id && fields.address === node.address.address,
  ).length;

describe.each(rows)('while a disk hangs for $hang (seed $seed)', ({ seed, ms, code }) => {
  // Guards against a leader that keeps a leadership in which it can write nothing.
  test('at the leader, reads go on, a sound replica takes over, and the replica counts again', async () => {
    await started(seed);
    const hanging = leaderOf();
    const sound = followers();
    const release = hanging.disk.hang();
    const startedAt = cluster.clock.monotonic();
    cluster.propose(hanging, 'to the hanging disk');
    const hasSoundLeader = (): boolean => ![undefined, hanging].includes(cluster.leader());
    expect(await readMs(sound)).toBeLessThanOrEqual(READ_MS);
    expect(await cluster.until(hasSoundLeader, TAKEOVER_MS)).toBe(true);
    expect(await accepted(leaderOf(), 'at the sound leader', 1_000)).toBe(true);
    expect(await readMs(running())).toBeLessThanOrEqual(READ_MS);
    await expectIdentified(hanging);
    await cluster.clock.advance(Math.max(0, startedAt + ms - cluster.clock.monotonic()));
    release(code);
    await traffic(3_000);
    cluster.crash(sound.includes(leaderOf()) ? leaderOf() : sound[0]);
    expect(await readMs(running())).toBeLessThanOrEqual(CONTACT_MS);
    expect(await cluster.until(() => cluster.leader() !== undefined, CONTACT_MS)).toBe(true);
    expect(await accepted(leaderOf(), 'afterwards')).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  });

  // Guards against a replica that answers nothing while it waits for its disk, so that others close their connections to it again
  // and again.
  test('at a follower, it answers what needs no disk, and counts again', async () => {
    await started(seed);
    const [hanging, sound] = followers();
    const leader = leaderOf();
    const release = hanging.disk.hang();
    const startedAt = cluster.clock.monotonic();
    await traffic(NOTICE_MS, [leader, sound]);
    const droppedBefore = dropped(hanging);
    expect(await readMs([leader, sound])).toBeLessThanOrEqual(READ_MS);
    await traffic(Math.max(0, startedAt + ms - cluster.clock.monotonic()), [leader, sound]);
    if (ms > NOTICE_MS + 1_000) await expectIdentified(hanging);
    expect(dropped(hanging)).toBe(droppedBefore);
    expect(await accepted(leader, 'without it')).toBe(true);
    release(code);
    await traffic(3_000);
    cluster.crash(sound);
    expect(await readMs(running())).toBeLessThanOrEqual(CONTACT_MS);
    expect(await accepted(leaderOf(), 'afterwards')).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  });

  // Guards against the state of the record: nobody leads, no read is answered, and calls to one replica get no answer.
  test('at a follower and the leader is lost, reads are answered and votes are refused at once', async () => {
    await started(seed);
    const [hanging, sound] = followers();
    const release = hanging.disk.hang();
    const startedAt = cluster.clock.monotonic();
    cluster.crash(leaderOf());
    expect(await readMs([sound])).toBeLessThanOrEqual(CONTACT_MS);
    await cluster.clock.advance(NOTICE_MS);
    const droppedBefore = dropped(hanging);
    for (let end = startedAt + ms; cluster.clock.monotonic() < end;) {
      expect(await readMs([sound])).toBeLessThanOrEqual(CONTACT_MS);
      await expectIdentified(hanging);
      await cluster.clock.advance(200);
    }
    expect(dropped(hanging)).toBe(droppedBefore);
    release(code);
    expect(await cluster.until(() => cluster.leader() !== undefined, CONTACT_MS)).toBe(true);
    expect(await accepted(leaderOf(), 'afterwards')).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  });
});

describe.each(SEEDS)('while a disk hangs for ever (seed %i)', (seed) => {
  // Guards against a leader that nobody hears, or that gives up its leadership, which nobody else can take over.
  test('at the leader and a follower is lost, reads are answered', async () => {
    await started(seed);
    const hanging = leaderOf();
    const [lost, sound] = followers();
    hanging.disk.hang();
    cluster.crash(lost);
    for (let round = 0; round < 8; round += 1) {
      await traffic(1_000);
      expect(await readMs([sound, hanging])).toBeLessThanOrEqual(CONTACT_MS);
    }
  });

  // Guards against reads that wait for a disk where two of three can't be written.
  test('at the leader and another is full, reads are answered', async () => {
    await started(seed);
    const hanging = leaderOf();
    const [full, sound] = followers();
    hanging.disk.hang();
    full.disk.writeError = 'ENOSPC';
    for (let round = 0; round < 8; round += 1) {
      await traffic(1_000);
      expect(await readMs([full, sound, hanging])).toBeLessThanOrEqual(CONTACT_MS);
    }
  });

  // Guards against the record: one disk is full, another one hangs, and the leader is lost or leads no more.
  test('at one of five, another is full and the leader and one more are lost, reads are answered', async () => {
    await started(seed, ['a', 'b', 'c', 'd', 'e']);
    const [hanging, full, sound, lost] = followers();
    if (sound === undefined || lost === undefined) throw new Error('no followers');
    hanging.disk.hang();
    full.disk.writeError = 'ENOSPC';
    cluster.crash(leaderOf());
    cluster.crash(lost);
    for (let round = 0; round < 8; round += 1) {
      expect(await readMs([sound, full, hanging])).toBeLessThanOrEqual(CONTACT_MS);
      await traffic(1_000);
    }
  });

  // Guards against an acknowledgement of what is not synced, and of what is synced for a term that is over.
  test('at two of three, no command is accepted, and calls that need the disk are refused at once', async () => {
    await started(seed);
    const leader = leaderOf();
    const [hanging] = followers();
    hanging.disk.hang('before');
    leader.disk.hang('before');
    await traffic(NOTICE_MS);
    const attempt = cluster.propose(leader, 'never', 2_000);
    await cluster.until(() => attempt.outcome !== 'open', ANSWER_MS);
    expect(attempt.outcome).toBe('not-run');
    expect(cluster.attempts.filter(({ outcome }) => outcome === 'done')).toHaveLength(1);
    expect(leader.replica?.status().storageFailure).toContain('does not answer');
    await expectIdentified(hanging);
  });

  // Guards against attempts to use a disk that hold up votes and heartbeats, again and again.
  test('a disk that answers each call too late holds up no call', async () => {
    await started(seed);
    const [hanging] = followers();
    const release = hanging.disk.hang();
    await traffic(NOTICE_MS);
    release();
    hanging.disk.syncDelay = () => hanging.clock.sleep(2_000);
    await traffic(2_000);
    for (let round = 0; round < 100; round += 1) {
      await traffic(100);
      await expectVoteRefused(hanging);
    }
  });
});
