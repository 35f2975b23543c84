/** A leader that handles each message late, while its followers answer each other soon. */
import { afterEach, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Further delay of each message to and from the leader, milliseconds: its event loop is busy. */
const LEADER_DELAY_MS = 250;

/** Timeout of a query, milliseconds. */
const QUERY_TIMEOUT_MS = 900;

const NAMES = ['a', 'b', 'c', 'd', 'e'];

let cluster: MemoryCluster;

async function slowLeader(seed: number): Promise<Node> {
  // The delays are constant, so that estimated timeouts would leave them no margin.
  cluster = new MemoryCluster(seed, NAMES, { rpcTimeoutMs: 1_000, slowRpcTimeoutMs: 3_000 });
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  const { address } = leader.address;
  cluster.network.extraDelayMs = ({ from, to }) => (from === address || to === address ? LEADER_DELAY_MS : 0);
  await cluster.clock.advance(3_000);
  expect(cluster.leader()?.address.name).toBe(leader.address.name);
  return leader;
}

async function outcomesOf(nodes: readonly Node[]): Promise<string[]> {
  const queries = nodes.map((node) => cluster.query(node, QUERY_TIMEOUT_MS));
  await cluster.until(() => queries.every(({ outcome }) => outcome !== 'open'), 2 * QUERY_TIMEOUT_MS);
  return queries.map(({ outcome }) => outcome);
}

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

// Guards against reads that fail at all replicas but the leader while that is slow, as they pass through it.
test('every replica answers queries while the leader is slow', async () => {
  await slowLeader(3);
  expect(await outcomesOf(cluster.nodes)).toEqual(NAMES.map(() => 'answered'));
});

// Guards against the same while commands are committed all the time, so that followers always hold entries beyond the commit.
test('every replica answers queries while the leader is slow and commands are committed', async () => {
  const leader = await slowLeader(4);
  const outcomes: string[] = [];
  for (let round = 0; round < 10; round += 1) {
    cluster.propose(leader, `command ${round}`);
    await cluster.clock.advance(100);
    outcomes.push(...(await outcomesOf(cluster.nodes)));
  }
  expect(outcomes.filter((outcome) => outcome !== 'answered')).toEqual([]);
});
