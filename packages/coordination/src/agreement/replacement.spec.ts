/** Voters that are lost for good, and others that come in their place at new addresses. */
import type { Log } from '@jasmineroute/core';
import { afterEach, describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { MemoryCluster } from '../testing/index.js';

let cluster: MemoryCluster;
let told: { readonly id: number; readonly fields: Readonly<Record<string, unknown>> }[];

async function started(names: readonly string[]): Promise<void> {
  told = [];
  const log: Log = {
    event: ({ id }, fields = {}) => {
      told.push({ id, fields });
    },
    with: () => log,
  };
  cluster = new MemoryCluster(7, names, {}, log);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
}

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
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

  test('tells who gave no vote, and why, when nobody can be elected', async () => {
    // Symptom: a replica without a leader logs nothing at all, and its record does not tell a lost quorum from votes
    // that are refused.
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
