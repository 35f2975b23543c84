/** Safety rules for committed entries, each in a scenario where only that rule protects them. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { afterEach, describe, expect, test } from 'vitest';
import {
  Agreement,
  AppendRequestSchema,
  EntryKind,
  VoteRequestSchema,
} from '../gen/agreement/agreement_pb.js';
import { MemoryCluster, StubReplica } from '../testing/index.js';
import type { Node } from '../testing/index.js';
import type { ReplicaStatus } from './status.js';

let cluster: MemoryCluster;

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

function statusOf(node: Node): ReplicaStatus {
  if (node.replica === undefined) throw new Error('not running');
  return node.replica.status();
}

/** Sends a message of a higher term. */
function depose(node: Node): void {
  const { configuration, replicaId, term } = statusOf(node);
  const client = createClient(Agreement, cluster.network.connect('test', node.address.address));
  const { clusterId = '' } = configuration ?? {};
  const message = { clusterId, replicaId, leader: 'unknown', term: term + 5n, previousIndex: 1_000n };
  void client.append(create(AppendRequestSchema, message));
}

const hang = (): Promise<void> => new Promise(() => undefined);

describe('three replicas', () => {
  async function startThree(): Promise<{ leader: Node; follower: Node; down: Node }> {
    cluster = new MemoryCluster(11, ['a', 'b', 'c']);
    await cluster.startAll();
    await cluster.until(() => cluster.leader() !== undefined, 10_000);
    await cluster.clock.advance(500);
    const leader = cluster.leader();
    const [follower, down] = cluster.nodes.filter((node) => node !== leader);
    if (leader === undefined || follower === undefined || down === undefined) throw new Error('no leader');
    cluster.crash(down);
    return { leader, follower, down };
  }

  // Guards against counting entries that are written but not synced: a committed command would be lost when one replica
  // loses power.
  test.each(['leader', 'follower'] as const)(
    'an entry that is not synced on the %s does not count',
    async (slow) => {
      const nodes = await startThree();
      nodes[slow].disk.syncDelay = hang;
      const attempt = cluster.propose(nodes.leader, 'unsafe', 2_000);
      await cluster.clock.advance(3_000);
      expect(attempt.outcome).toBe('may-have-run');
    },
  );

  // Guards against two leaders in one term, when a vote is not synced before it is granted and the replica votes again
  // after a power cut.
  test('a vote survives a power cut', async () => {
    const { leader, follower } = await startThree();
    const { clusterId = '' } = statusOf(leader).configuration ?? {};
    cluster.crash(leader);
    await cluster.clock.advance(550);
    const ask = async (candidate: string): Promise<boolean> => {
      const client = createClient(Agreement, cluster.network.connect('test', follower.address.address));
      const last = { lastIndex: 1_000n, lastTerm: 50n };
      const request = { clusterId, candidate, replicaId: candidate, term: 90n, ...last };
      const answer = client.vote(create(VoteRequestSchema, request));
      let granted: boolean | undefined;
      void answer.then((response) => {
        granted = response.granted;
      });
      await cluster.until(() => granted !== undefined, 1_000);
      return granted === true;
    };
    expect(await ask('first')).toBe(true);
    cluster.crash(follower);
    await cluster.start(follower);
    expect(await ask('second')).toBe(false);
    expect(await ask('first')).toBe(true);
  });

  // Guards against a removed replica that keeps deposing the leader with vote requests, and against an empty disk that
  // receives messages meant for the old one, when only term and log are checked.
  test('a replica in contact with a leader grants no vote, and accepts no message meant for another replica', async () => {
    const { leader, follower } = await startThree();
    const status = statusOf(follower);
    const { clusterId = '' } = status.configuration ?? {};
    const client = createClient(Agreement, cluster.network.connect('test', follower.address.address));
    const candidate = { clusterId, candidate: 'x', replicaId: 'x', term: 90n, lastIndex: 99n, lastTerm: 50n };
    const stranger = { clusterId, leader: 'x', term: 91n, replicaId: 'the one before' };
    const answers: unknown[] = [];
    const note = (answer: { granted?: boolean; success?: boolean }) =>
      answers.push(answer.granted ?? answer.success);
    void client.vote(create(VoteRequestSchema, { ...candidate, probe: true })).then(note);
    void client.vote(create(VoteRequestSchema, candidate)).then(note);
    void client.append(create(AppendRequestSchema, stranger)).then(note);
    await cluster.clock.advance(100);
    expect(answers).toEqual([false, false, false]);
    expect(statusOf(follower).term).toBe(status.term);
    expect(statusOf(leader).state).toBe('leader');
  });

  // Guards against a deposed leader that commits an entry without a quorum: the follower confirms the entry after its
  // sync, although a later leader replaced it meanwhile.
  test('entries that a later leader replaced during their sync are not acknowledged', async () => {
    const { leader, follower } = await startThree();
    const { clusterId = '' } = statusOf(leader).configuration ?? {};
    cluster.crash(leader);
    const { commitIndex, term, replicaId } = statusOf(follower);
    const confirmed: boolean[] = [];
    const append = (by: string, newTerm: bigint): void => {
      const client = createClient(Agreement, cluster.network.connect(by, follower.address.address));
      const entry = { index: commitIndex + 1n, term: newTerm, kind: EntryKind.NOOP };
      const previous = { previousIndex: commitIndex, previousTerm: term };
      const message = { clusterId, leader: by, term: newTerm, replicaId, entries: [entry], ...previous };
      void client.append(create(AppendRequestSchema, message)).then(({ success }) => confirmed.push(success));
    };
    // The term is synced first, then the entry; only the sync of the entry is slow.
    const delays = [5, 500];
    follower.disk.syncDelay = () => cluster.clock.sleep(delays.shift() ?? 5);
    append('old', 20n);
    await cluster.clock.advance(150);
    append('new', 30n);
    await cluster.clock.advance(1_000);
    expect(confirmed.filter(Boolean)).toHaveLength(1);
  });
});

describe('one replica and stubs', () => {
  async function startLeader(): Promise<{ node: Node; stubs: StubReplica[] }> {
    cluster = new MemoryCluster(13, ['a', 'b', 'c']);
    const stubs = ['b', 'c'].map((name) => new StubReplica(name, cluster.network));
    const node = cluster.find('a');
    await cluster.start(node);
    return { node, stubs };
  }

  const names = (node: Node): string[] => {
    const { configuration } = statusOf(node);
    return [...(configuration?.voters ?? []), ...(configuration?.learners ?? [])].map(({ name }) => name);
  };

  // Guards against committing an entry of an earlier term by counting replicas: a candidate without it can still win with
  // a newer entry (figure 8 of the Raft paper).
  test('an entry of an earlier term is not committed by counting replicas', async () => {
    const { node, stubs } = await startLeader();
    for (const stub of stubs) stub.syncedLimit = 1n;
    await cluster.until(() => statusOf(node).state === 'leader', 10_000);
    await cluster.clock.advance(2_000);
    expect(statusOf(node).commitIndex).toBe(0n);
    for (const stub of stubs) stub.syncedLimit = 100n;
    await cluster.clock.advance(1_000);
    expect(statusOf(node).commitIndex).toBe(2n);
  });

  // Guards against disjoint quorums made by two successive leaders: an uncommitted change of the previous leader may
  // still win.
  test("the configuration doesn't change before an entry of the leader's term is committed", async () => {
    const { node, stubs } = await startLeader();
    await cluster.until(() => statusOf(node).vouched, 10_000);
    const before = statusOf(node);
    for (const stub of stubs) Object.assign(stub, { answers: false, syncedLimit: before.commitIndex });
    await cluster.clock.advance(2_000);
    depose(node);
    await cluster.clock.advance(100);
    expect(statusOf(node).state).not.toBe('leader');
    for (const stub of stubs) stub.answers = true;
    await cluster.until(() => statusOf(node).state === 'leader', 10_000);
    expect(statusOf(node).term).toBeGreaterThan(before.term);
    new StubReplica('d', cluster.network);
    const desired = ['a', 'b', 'c', 'd'].map((name) => ({ name, address: name }));
    void node.replica?.changeReplicas(desired);
    await cluster.clock.advance(2_000);
    expect(names(node)).toEqual(['a', 'b', 'c']);
    for (const stub of stubs) stub.syncedLimit = 100n;
    await cluster.clock.advance(3_000);
    expect(names(node)).toEqual(['a', 'b', 'c', 'd']);
  });

  // Guards against lost commands after a repair: a new replica that votes before it has caught up counts towards quorums
  // without the data.
  test('a replica that has not caught up does not vote', async () => {
    const { node } = await startLeader();
    await cluster.until(() => statusOf(node).vouched, 10_000);
    const fresh = new StubReplica('d', cluster.network);
    fresh.syncedLimit = 0n;
    void node.replica?.changeReplicas(['a', 'b', 'c', 'd'].map((name) => ({ name, address: name })));
    await cluster.clock.advance(3_000);
    expect(statusOf(node).configuration?.voters).toHaveLength(3);
    expect(statusOf(node).configuration?.learners).toHaveLength(1);
    fresh.syncedLimit = 100n;
    await cluster.clock.advance(3_000);
    expect(statusOf(node).configuration?.voters).toHaveLength(4);
  });

  // Guards against a caller that receives the result of another command, which a later leader committed at the same index.
  test('a command that was replaced by another one is not answered with its result', async () => {
    const { node, stubs } = await startLeader();
    await cluster.until(() => statusOf(node).vouched, 10_000);
    const { commitIndex, term, replicaId, configuration } = statusOf(node);
    for (const stub of stubs) stub.syncedLimit = commitIndex;
    const attempt = cluster.propose(node, 'lost', 2_000);
    await cluster.clock.advance(200);
    const other = {
      index: commitIndex + 1n,
      term: 50n,
      kind: EntryKind.COMMAND,
      command: Buffer.from('other'),
    };
    const client = createClient(Agreement, cluster.network.connect('b', 'a'));
    const message = {
      clusterId: configuration?.clusterId,
      leader: 'b',
      term: 50n,
      previousIndex: commitIndex,
      previousTerm: term,
      entries: [other],
      commitIndex: other.index,
      replicaId,
    };
    void client.append(create(AppendRequestSchema, message));
    await cluster.clock.advance(4_000);
    expect(attempt.outcome).not.toBe('done');
    expect(node.createRecorder.commands).toEqual(['other']);
  });

  // Guards against disjoint quorums made by one leader: two single-step changes at once are a change by two voters.
  test('a membership change waits for the previous one', async () => {
    const { node, stubs } = await startLeader();
    await cluster.until(() => statusOf(node).vouched, 10_000);
    for (const stub of stubs) stub.syncedLimit = statusOf(node).commitIndex;
    for (const name of ['d', 'e']) new StubReplica(name, cluster.network);
    const desired = ['a', 'b', 'c', 'd', 'e'].map((name) => ({ name, address: name }));
    void node.replica?.changeReplicas(desired);
    await cluster.clock.advance(3_000);
    expect(names(node)).toHaveLength(4);
    for (const stub of stubs) stub.syncedLimit = 1_000n;
    await cluster.clock.advance(5_000);
    expect(statusOf(node).configuration?.voters).toHaveLength(5);
  });

  // Guards against votes and acknowledgements that are counted by name: a command would be committed on empty disks that
  // replaced the old ones.
  test("answers of another replica under a voter's name do not count", async () => {
    const { node } = await startLeader();
    await cluster.until(() => statusOf(node).vouched, 10_000);
    const { commitIndex } = statusOf(node);
    for (const name of ['b', 'c']) new StubReplica(name, cluster.network, `other-${name}`);
    const attempt = cluster.propose(node, 'unsafe', 1_000);
    await cluster.clock.advance(5_000);
    expect(attempt.outcome).toBe('may-have-run');
    expect(statusOf(node)).toMatchObject({ commitIndex, vouched: false });
    expect(statusOf(node).state).not.toBe('leader');
  });
});
