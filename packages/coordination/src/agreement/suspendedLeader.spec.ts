/** Leaders that no quorum answers for a while. */
import { afterEach, describe, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const SEEDS = Array.from({ length: 20 }, (_, at) => at + 1);

/** Time for which the followers stand still, milliseconds: longer than the quorum window. */
const STALL_MS = 2_000;

/** Time after a stall within which the leader must lead again, milliseconds. */
const RESUME_MS = 200;

/** Time in which a leader that hears nobody must be replaced, milliseconds. */
const REPLACED_MS = 2_200;

/** Time after which a follower of a leader without a quorum no longer counts as current, milliseconds. */
const ISOLATED_MS = 3_000;

let cluster: MemoryCluster;

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

async function started(seed: number, names: readonly string[]): Promise<Node> {
  cluster = new MemoryCluster(seed, names);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(1_000);
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

const othersThan = (node: Node): Node[] => cluster.nodes.filter((other) => other !== node);

const stateOf = ({ replica }: Node) => replica?.status().state;

const leadsAlone = (node: Node): boolean => stateOf(node) === 'leader' && cluster.leader() === node;

// Guards against an election, and no leader until it is over, after followers that only stood still.
test.each([{ names: ['a', 'b', 'c'] }, { names: ['a', 'b', 'c', 'd', 'e'] }])(
  'a leader of $names goes on in its term after its followers stood still',
  async ({ names }) => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      const leader = await started(seed, names);
      const term = leader.replica?.status().term;
      for (const node of othersThan(leader)) cluster.stall(node, STALL_MS);
      const before = cluster.propose(leader, 'before', 5_000);
      await cluster.clock.advance(STALL_MS - 100);
      expect(stateOf(leader)).toBe('follower');
      await cluster.clock.advance(100);
      await cluster.until(() => leadsAlone(leader), RESUME_MS);
      if (!leadsAlone(leader) || leader.replica?.status().term !== term)
        failed.push(`seed ${seed.toString()}`);
      await cluster.clock.advance(1_000);
      const after = cluster.propose(leader, 'after');
      await cluster.clock.advance(1_000);
      if (before.outcome !== 'done' || after.outcome !== 'done') failed.push(`command of ${seed.toString()}`);
      cluster.checkFinalState();
      expect(cluster.violations).toEqual([]);
      for (const node of cluster.nodes) cluster.crash(node);
    }
    expect(failed).toEqual([]);
  },
);

describe('a leader that is cut off', () => {
  // Guards against commands of unknown outcome, and reads, at a leader without a quorum.
  test('refuses commands as not run, answers no read and does not count as the leader', async () => {
    const leader = await started(3, ['a', 'b', 'c']);
    for (const { address } of othersThan(leader))
      cluster.network.cut(leader.address.address, address.address);
    await cluster.clock.advance(STALL_MS);
    const attempt = cluster.propose(leader, 'refused', 500);
    const query = cluster.query(leader, 500);
    await cluster.clock.advance(1_000);
    const { state, vouched, leader: known } = leader.replica?.status() ?? {};
    expect({ state, vouched, known }).toEqual({ state: 'follower', vouched: false, known: undefined });
    expect([attempt.outcome, query.outcome]).toEqual(['not-run', 'refused']);
    cluster.network.heal();
    await cluster.clock.advance(3_000);
    cluster.checkFinalState();
  });

  // Guards against followers that keep a leader for good that hears none of their answers.
  test.each([3, 5])('from the answers of %i replicas only is replaced in time', async (count) => {
    const late: number[] = [];
    for (const seed of SEEDS) {
      const leader = await started(seed, ['a', 'b', 'c', 'd', 'e'].slice(0, count));
      const { address } = leader.address;
      for (const other of othersThan(leader)) cluster.network.cutOneWay(other.address.address, address);
      const isReplaced = (): boolean => othersThan(leader).some((node) => cluster.leader() === node);
      if (!(await cluster.until(isReplaced, REPLACED_MS))) late.push(seed);
      for (const node of cluster.nodes) cluster.crash(node);
      expect(cluster.violations).toEqual([]);
    }
    expect(late).toEqual([]);
  });

  // Guards against a follower that counts as current for as long as it hears a leader that the others have replaced.
  test('with one follower takes it out of contact as well', async () => {
    const leader = await started(3, ['a', 'b', 'c', 'd', 'e']);
    const [companion, ...others] = othersThan(leader);
    if (companion === undefined) throw new Error('too few replicas');
    for (const { address } of others) {
      for (const cut of [leader, companion]) cluster.network.cut(cut.address.address, address.address);
    }
    expect(companion.replica?.status().vouched).toBe(true);
    await cluster.clock.advance(ISOLATED_MS);
    expect(others.some((node) => cluster.leader() === node)).toBe(true);
    expect(leader.replica?.status().vouched).toBe(false);
    expect(companion.replica?.status().vouched).toBe(false);
  });

  // Guards against a suspended leader that refuses its vote to the only replica that reaches a quorum.
  test('from all but one votes for that one, which needs its vote', async () => {
    const leader = await started(3, ['a', 'b', 'c', 'd', 'e']);
    const [between, far, ...lost] = othersThan(leader);
    if (between === undefined || far === undefined) throw new Error('too few replicas');
    for (const node of lost) cluster.crash(node);
    cluster.network.cut(leader.address.address, far.address.address);
    const leads = (): boolean => cluster.leader() === between;
    expect(await cluster.until(leads, 2 * REPLACED_MS)).toBe(true);
  });
});
