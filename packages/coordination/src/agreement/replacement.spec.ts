/** Voters that are lost for good, and others that come in their place at new addresses. */
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import type { Tuning } from './options.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** From the start of an instance that comes in another's place until it must have taken it, milliseconds. */
const TAKES_PLACE_MS = 4_000;

/** From the start of all until they must serve again, milliseconds. */
const RECOVERS_MS = 12_000;

let cluster: MemoryCluster;
let told: { readonly id: number; readonly fields: Readonly<Record<string, unknown>> }[];

async function started(names: readonly string[], tuning: Partial<Tuning> = {}): Promise<void> {
  told = [];
  const log: Log = {
    event: ({ id }, fields = {}) => {
      told.push({ id, fields });
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

/** Adds an empty machine, which asks to be taken in. */
async function add(name: string): Promise<Node> {
  const node = cluster.add(name);
  await cluster.start(node);
  void leaderOf().replica?.enlist(node.address);
  return node;
}

/** All running machines lose power at once and come back; the disk of one is empty then. */
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
  // Guards against a voter that is gone for good and goes on counting, so that the next lost disk leaves no quorum.
  test('is no voter any more once another instance has come in its place', async () => {
    await started(['a', 'b', 'c']);
    expect(await accepted('kept')).toBe(true);
    const gone = leaderOf();
    cluster.wipe(gone);
    expect(await cluster.until(() => ![undefined, gone].includes(cluster.leader()), 5_000)).toBe(true);
    const fresh = await add('d');
    await cluster.clock.advance(TAKES_PLACE_MS);
    const remaining = cluster.nodes.filter((node) => node !== gone);
    const wiped = remaining.find((node) => node !== fresh && node !== cluster.leader());
    if (wiped === undefined) throw new Error('no follower');
    await losePower(wiped);
    expect(await cluster.until(() => cluster.leader() !== undefined, RECOVERS_MS)).toBe(true);
    expect(await accepted('after')).toBe(true);
    expect(votersOf(leaderOf())).toEqual(remaining.map(({ address }) => address.name).sort());
    await cluster.clock.advance(5_000);
    cluster.checkEnd(remaining);
  });

  // Guards against an instance that is taken away after its successor came and keeps its vote.
  test('is no voter any more when it leaves after its successor has come', async () => {
    await started(['a', 'b', 'c']);
    await add('d');
    expect(await cluster.until(() => votersOf(leaderOf()).length === 4, 10_000)).toBe(true);
    const gone = cluster.nodes.find((node) => node !== cluster.leader() && node.address.name !== 'd');
    if (gone === undefined) throw new Error('no follower');
    cluster.wipe(gone);
    await cluster.clock.advance(TAKES_PLACE_MS);
    expect(votersOf(leaderOf())).not.toContain(gone.address.name);
    expect(votersOf(leaderOf())).toHaveLength(3);
  });
});

describe('a voter that is lost for a while', () => {
  // Guards against a voter that was cut off for some seconds and never votes again.
  test('gives its vote up beside an even number of voters, and has it again when it is back', async () => {
    await started(['a', 'b', 'c', 'd']);
    const cut = cluster.nodes.find((node) => node !== cluster.leader());
    if (cut === undefined) throw new Error('no follower');
    const { name } = cut.address;
    for (const other of cluster.nodes) if (other !== cut) cluster.network.cut(name, other.address.name);
    expect(await cluster.until(() => votersOf(leaderOf()).length === 3, 5_000)).toBe(true);
    expect(votersOf(leaderOf())).not.toContain(name);
    expect(await accepted('while it was cut off')).toBe(true);
    cluster.network.heal();
    expect(await cluster.until(() => votersOf(leaderOf()).length === 4, 3_000)).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkEnd();
  });

  test('keeps its vote beside an odd number of voters, where a quorum would be none less without it', async () => {
    await started(['a', 'b', 'c']);
    const cut = cluster.nodes.find((node) => node !== cluster.leader());
    if (cut === undefined) throw new Error('no follower');
    cluster.crash(cut);
    await cluster.clock.advance(20_000);
    expect(votersOf(leaderOf())).toEqual(['a', 'b', 'c']);
    await cluster.start(cut);
    await cluster.clock.advance(2_000);
    cluster.checkEnd();
  });

  // Guards against a leader that goes on calling each instance that was ever replaced.
  test('is called no more once others have come in its place', async () => {
    await started(['a', 'b', 'c']);
    const gone = leaderOf();
    cluster.wipe(gone);
    expect(await cluster.until(() => ![undefined, gone].includes(cluster.leader()), 5_000)).toBe(true);
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

describe('six voters', () => {
  // Guards against the same with six voters, two of which may be lost at once.
  test('bear two lost disks after two of them were replaced by others', async () => {
    await started(['a', 'b', 'c', 'd', 'e', 'f']);
    expect(await accepted('kept')).toBe(true);
    const gone = cluster.nodes.filter((node) => node !== cluster.leader()).slice(0, 2);
    for (const node of gone) cluster.wipe(node);
    await add('g');
    await add('h');
    await cluster.clock.advance(TAKES_PLACE_MS + 1_000);
    const remaining = cluster.nodes.filter((node) => !gone.includes(node));
    expect(votersOf(leaderOf())).toEqual(expect.arrayContaining(['g', 'h']));
    const wiped = remaining.filter((node) => node !== cluster.leader()).slice(0, 2);
    for (const node of remaining) {
      if (wiped.includes(node)) cluster.wipe(node);
      else cluster.crash(node);
    }
    for (const node of remaining) await cluster.start(node);
    expect(await cluster.until(() => cluster.leader() !== undefined, RECOVERS_MS)).toBe(true);
    expect(await accepted('after')).toBe(true);
    const all = remaining.map(({ address }) => address.name);
    const allVote = (): boolean => all.every((name) => votersOf(leaderOf()).includes(name));
    expect(await cluster.until(allVote, 10_000)).toBe(true);
    await cluster.clock.advance(1_000);
    cluster.checkEnd(remaining);
  });
});

describe('what is logged of lost voters', () => {
  test('tells of a voter that is silent, how many more may be lost, and that it answers again', async () => {
    await started(['a', 'b', 'c']);
    const lost = cluster.nodes.find((node) => node !== cluster.leader());
    if (lost === undefined) throw new Error('no follower');
    cluster.crash(lost);
    await cluster.clock.advance(4_000);
    const { name } = lost.address;
    const silent = { id: coordinationEvents.voterSilent.id, fields: { name, voters: 3, spare: 0 } };
    expect(told.filter(({ id }) => id === silent.id)).toEqual([silent]);
    await cluster.start(lost);
    await cluster.clock.advance(1_000);
    expect(told.some(({ id }) => id === coordinationEvents.voterAnswers.id)).toBe(true);
  });

  // Guards against too few voters for the losses that may come, of which nothing tells before the last one.
  test('tells when fewer vote than the losses to be borne ask for', async () => {
    await started(['a', 'b', 'c', 'd'], { lossesToBear: 2 });
    const expected = { id: coordinationEvents.tooFewVoters.id, fields: { voters: 4, lossesToBear: 2 } };
    expect(told.filter(({ id }) => id === expected.id)).toEqual([expected]);
    await add('e');
    await cluster.until(() => votersOf(leaderOf()).length === 5, 5_000);
    expect(told.filter(({ id }) => id === expected.id)).toHaveLength(1);
  });

  // Guards against a record that does not tell a lost quorum from votes that are refused.
  test('tells who gave no vote, and why, when nobody can be elected', async () => {
    await started(['a', 'b', 'c']);
    const [left, down, wiped] = [cluster.find('a'), cluster.find('b'), cluster.find('c')];
    for (const node of cluster.nodes) cluster.crash(node);
    cluster.wipe(wiped);
    await cluster.start(left);
    await cluster.start(wiped);
    await cluster.clock.advance(3_000);
    const fields = { granted: [], refused: [], silent: [down.address.name], replaced: [wiped.address.name] };
    const expected = { id: coordinationEvents.tooFewVotes.id, fields: { ...fields, voters: 3, needed: 2 } };
    expect(told.filter(({ id }) => id === expected.id)).toEqual([expected]);
  });
});
