/** Voters that are lost for good or for a while, and their replacement by instances at new addresses. */
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import type { Tuning } from './options.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Time limit for a new instance to replace a lost voter, milliseconds. */
const REPLACEMENT_MS = 4_000;

/** Time limit for a restarted cluster to serve again, milliseconds. */
const RECOVERY_MS = 12_000;

let cluster: MemoryCluster;
let logged: { readonly id: number; readonly fields: Readonly<Record<string, unknown>> }[];

async function started(names: readonly string[], tuning: Partial<Tuning> = {}): Promise<void> {
  logged = [];
  const log: Log = {
    event: ({ id }, fields = {}) => {
      logged.push({ id, fields });
    },
    with: () => log,
  };
  cluster = new MemoryCluster(7, names, tuning, log);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
}

function leaderOf(): Node {
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

const votersOf = (node: Node): string[] =>
  (node.replica?.status().configuration?.voters ?? []).map(({ name }) => name).sort();

async function accepted(command: string): Promise<boolean> {
  const attempt = cluster.propose(leaderOf(), command, 8_000);
  await cluster.until(() => attempt.outcome !== 'open', 10_000);
  return attempt.outcome === 'done';
}

/** Adds a replica with an empty disk as a voter. */
async function add(name: string): Promise<Node> {
  const node = cluster.add(name);
  await cluster.start(node);
  void leaderOf().replica?.enlist(node.address);
  return node;
}

/** All running replicas lose power at once and restart, one of them with an empty disk. */
async function losePower(wiped: Node): Promise<void> {
  const running = cluster.nodes.filter(({ replica }) => replica !== undefined);
  for (const node of running) {
    if (node === wiped) cluster.wipe(node);
    else cluster.crash(node);
  }
  for (const node of running) await cluster.start(node);
}

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

describe('a voter that is gone for good', () => {
  // Guards against a lost voter that still counts, so that the next lost disk leaves no quorum.
  test('is removed from the voters once another instance has replaced it', async () => {
    await started(['a', 'b', 'c']);
    expect(await accepted('kept')).toBe(true);
    const lostVoter = leaderOf();
    cluster.wipe(lostVoter);
    expect(await cluster.until(() => ![undefined, lostVoter].includes(cluster.leader()), 5_000)).toBe(true);
    const fresh = await add('d');
    await cluster.clock.advance(REPLACEMENT_MS);
    const remaining = cluster.nodes.filter((node) => node !== lostVoter);
    const wiped = remaining.find((node) => node !== fresh && node !== cluster.leader());
    if (wiped === undefined) throw new Error('no follower');
    await losePower(wiped);
    expect(await cluster.until(() => cluster.leader() !== undefined, RECOVERY_MS)).toBe(true);
    expect(await accepted('after')).toBe(true);
    expect(votersOf(leaderOf())).toEqual(remaining.map(({ address }) => address.name).sort());
    await cluster.clock.advance(5_000);
    cluster.checkFinalState(remaining);
  });

  // Guards against an instance that keeps its vote when it is removed after its successor was added.
  test('is removed from the voters when it leaves after its successor was added', async () => {
    await started(['a', 'b', 'c']);
    await add('d');
    expect(await cluster.until(() => votersOf(leaderOf()).length === 4, 10_000)).toBe(true);
    const lostVoter = cluster.nodes.find((node) => node !== cluster.leader() && node.address.name !== 'd');
    if (lostVoter === undefined) throw new Error('no follower');
    cluster.wipe(lostVoter);
    await cluster.clock.advance(REPLACEMENT_MS);
    expect(votersOf(leaderOf())).not.toContain(lostVoter.address.name);
    expect(votersOf(leaderOf())).toHaveLength(3);
  });
});

describe('a voter that is lost for a while', () => {
  // Guards against a voter that never votes again after some seconds of isolation.
  test('is demoted if the number of voters is even, and promoted again when it returns', async () => {
    await started(['a', 'b', 'c', 'd']);
    const isolated = cluster.nodes.find((node) => node !== cluster.leader());
    if (isolated === undefined) throw new Error('no follower');
    const { name } = isolated.address;
    for (const other of cluster.nodes) if (other !== isolated) cluster.network.cut(name, other.address.name);
    expect(await cluster.until(() => votersOf(leaderOf()).length === 3, 5_000)).toBe(true);
    expect(votersOf(leaderOf())).not.toContain(name);
    expect(await accepted('while it was cut off')).toBe(true);
    cluster.network.heal();
    expect(await cluster.until(() => votersOf(leaderOf()).length === 4, 3_000)).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState();
  });

  test('keeps its vote if the number of voters is odd, as the quorum would not become smaller', async () => {
    await started(['a', 'b', 'c']);
    const cut = cluster.nodes.find((node) => node !== cluster.leader());
    if (cut === undefined) throw new Error('no follower');
    cluster.crash(cut);
    await cluster.clock.advance(20_000);
    expect(votersOf(leaderOf())).toEqual(['a', 'b', 'c']);
    await cluster.start(cut);
    await cluster.clock.advance(2_000);
    cluster.checkFinalState();
  });

  // Guards against a leader that keeps calling every instance that was ever replaced.
  test('is no longer called once others have replaced it', async () => {
    await started(['a', 'b', 'c']);
    const lostVoter = leaderOf();
    cluster.wipe(lostVoter);
    expect(await cluster.until(() => ![undefined, lostVoter].includes(cluster.leader()), 5_000)).toBe(true);
    await add('d');
    const isReplaced = (): boolean => votersOf(leaderOf()).includes('d') && votersOf(leaderOf()).length === 3;
    expect(await cluster.until(isReplaced, 5_000)).toBe(true);
    await add('e');
    expect(await cluster.until(() => votersOf(leaderOf()).includes('e'), 5_000)).toBe(true);
    await cluster.clock.advance(2_000);
    const { learners = [] } = leaderOf().replica?.status().configuration ?? {};
    expect(learners).toEqual([]);
    expect(votersOf(leaderOf())).toHaveLength(4);
  });
});

describe('voters that are all replaced, one after the other', () => {
  // Guards against a list of learners that grows with each replacement, and counts wherever members are counted.
  test('leave no more than the last one as a learner', async () => {
    await started(['a', 'b', 'c']);
    for (const [lost, successor] of [
      ['a', 'd'],
      ['b', 'e'],
      ['c', 'f'],
    ] as const) {
      cluster.wipe(cluster.find(lost));
      const isLed = (): boolean => ![undefined, cluster.find(lost)].includes(cluster.leader());
      expect(await cluster.until(isLed, 5_000)).toBe(true);
      await add(successor);
      const votes = (): boolean =>
        votersOf(leaderOf()).includes(successor) && votersOf(leaderOf()).length === 3;
      expect(await cluster.until(votes, 10_000)).toBe(true);
    }
    await cluster.clock.advance(5_000);
    expect(votersOf(leaderOf())).toEqual(['d', 'e', 'f']);
    const { learners = [] } = leaderOf().replica?.status().configuration ?? {};
    expect(learners.map(({ name }) => name)).toEqual(['c']);
    expect(await accepted('after')).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState(cluster.nodes.filter(({ address }) => ['d', 'e', 'f'].includes(address.name)));
  });
});

describe('six voters', () => {
  // Guards against lost voters that still count, with six voters, two of which may be lost at once.
  test('tolerate two lost disks after two of them were replaced', async () => {
    await started(['a', 'b', 'c', 'd', 'e', 'f']);
    expect(await accepted('kept')).toBe(true);
    const lostVoters = cluster.nodes.filter((node) => node !== cluster.leader()).slice(0, 2);
    for (const node of lostVoters) cluster.wipe(node);
    await add('g');
    await add('h');
    await cluster.clock.advance(REPLACEMENT_MS + 1_000);
    const remaining = cluster.nodes.filter((node) => !lostVoters.includes(node));
    expect(votersOf(leaderOf())).toEqual(expect.arrayContaining(['g', 'h']));
    const wiped = remaining.filter((node) => node !== cluster.leader()).slice(0, 2);
    for (const node of remaining) {
      if (wiped.includes(node)) cluster.wipe(node);
      else cluster.crash(node);
    }
    for (const node of remaining) await cluster.start(node);
    expect(await cluster.until(() => cluster.leader() !== undefined, RECOVERY_MS)).toBe(true);
    expect(await accepted('after')).toBe(true);
    const all = remaining.map(({ address }) => address.name);
    const allVote = (): boolean => all.every((name) => votersOf(leaderOf()).includes(name));
    expect(await cluster.until(allVote, 10_000)).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkFinalState(remaining);
  });
});

describe('log events about lost voters', () => {
  test('report a silent voter with the number of further losses tolerated, and its return', async () => {
    await started(['a', 'b', 'c']);
    const lost = cluster.nodes.find((node) => node !== cluster.leader());
    if (lost === undefined) throw new Error('no follower');
    cluster.crash(lost);
    await cluster.clock.advance(4_000);
    const { name } = lost.address;
    const silent = { id: coordinationEvents.voterUnresponsive.id, fields: { name, voters: 3, spare: 0 } };
    expect(logged.filter(({ id }) => id === silent.id)).toEqual([silent]);
    await cluster.start(lost);
    await cluster.clock.advance(1_000);
    expect(logged.some(({ id }) => id === coordinationEvents.voterResponsive.id)).toBe(true);
  });

  // Guards against too few voters for the losses to tolerate, which would go unnoticed until the quorum is lost.
  test('report too few voters for the losses to tolerate', async () => {
    await started(['a', 'b', 'c', 'd'], { lossesToBear: 2 });
    const expected = { id: coordinationEvents.tooFewVoters.id, fields: { voters: 4, lossesToBear: 2 } };
    expect(logged.filter(({ id }) => id === expected.id)).toEqual([expected]);
    await add('e');
    await cluster.until(() => votersOf(leaderOf()).length === 5, 5_000);
    expect(logged.filter(({ id }) => id === expected.id)).toHaveLength(1);
  });

  // Guards against logs that do not distinguish a lost quorum from refused votes.
  test('report which voters gave no vote, and why, when no leader can be elected', async () => {
    await started(['a', 'b', 'c']);
    const [left, down, wiped] = [cluster.find('a'), cluster.find('b'), cluster.find('c')];
    for (const node of cluster.nodes) cluster.crash(node);
    cluster.wipe(wiped);
    await cluster.start(left);
    await cluster.start(wiped);
    await cluster.clock.advance(3_000);
    const fields = { granted: [], refused: [], silent: [down.address.name], replaced: [wiped.address.name] };
    const expected = { id: coordinationEvents.tooFewVotes.id, fields: { ...fields, voters: 3, needed: 2 } };
    expect(logged.filter(({ id }) => id === expected.id)).toEqual([expected]);
  });
});
