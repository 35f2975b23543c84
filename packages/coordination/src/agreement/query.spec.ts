/** Queries: read-only commands, answered from the leader's state. */
import { afterEach, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Timeout of a query, milliseconds. */
const QUERY_TIMEOUT_MS = 900;

let cluster: MemoryCluster;

async function started(names: readonly string[], tuning = {}): Promise<Node> {
  cluster = new MemoryCluster(7, names, tuning);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

function isolate(node: Node): void {
  for (const other of cluster.nodes) {
    if (other !== node) cluster.network.cut(node.address.address, other.address.address);
  }
}

async function outcomeAt(node: Node): Promise<string> {
  const query = cluster.query(node, QUERY_TIMEOUT_MS);
  await cluster.until(() => query.outcome !== 'open', 2 * QUERY_TIMEOUT_MS);
  return query.outcome;
}

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

test('a query is answered on every replica and reflects all commands committed before', async () => {
  const leader = await started(['a', 'b', 'c']);
  const attempt = cluster.propose(leader, 'accepted');
  await cluster.until(() => attempt.outcome === 'done', 5_000);
  for (const node of cluster.nodes) expect(await outcomeAt(node)).toBe('answered');
});

// Guards against answers from a leader that was replaced: they lack the commands committed since.
test('an isolated leader answers no query', async () => {
  const old = await started(['a', 'b', 'c']);
  isolate(old);
  const leads = (node: Node): boolean => node !== old && node.replica?.status().state === 'leader';
  await cluster.until(() => cluster.nodes.some(leads), 1_400);
  const next = cluster.nodes.find(leads);
  const attempt = next && cluster.propose(next, 'accepted since');
  await cluster.until(() => attempt?.outcome === 'done', 500);
  expect(old.replica?.status().state).toBe('leader');
  expect(await outcomeAt(old)).toBe('refused');
});

// Guards against a query that waits for earlier commands, which in turn wait for the disks of a quorum.
test('a query is answered while commands wait for slow disks', async () => {
  const leader = await started(['a', 'b', 'c'], { maxUncommittedBytes: 1_000 });
  for (const node of cluster.nodes) node.disk.syncDelay = () => cluster.clock.sleep(5_000);
  cluster.propose(leader, 'x'.repeat(1_000), 20_000);
  await cluster.clock.advance(300);
  for (const node of cluster.nodes) expect(await outcomeAt(node)).toBe('answered');
});

/** A replica that is not the leader. */
function followerOf(leader: Node): Node {
  const follower = cluster.nodes.find((node) => node !== leader);
  if (follower === undefined) throw new Error('no follower');
  return follower;
}

// Guards against a read that is refused at once with its connection, although its time is not over and it could be asked again.
test('a query whose connection to the leader breaks off is asked again', async () => {
  const leader = await started(['a', 'b', 'c']);
  const follower = followerOf(leader);
  const query = cluster.query(follower, QUERY_TIMEOUT_MS);
  await cluster.clock.advance(1);
  cluster.network.drop(follower.address.address, leader.address.address);
  await cluster.until(() => query.outcome !== 'open', 2 * QUERY_TIMEOUT_MS);
  expect(query.outcome).toBe('answered');
});

// Guards against a read that waits all its time for a leader that stands still, while a quorum could answer it.
test('a query that waits for a leader that stands still is answered by a quorum', async () => {
  // The call to the leader does not end in the time of the query.
  const leader = await started(['a', 'b', 'c'], { rpcTimeoutMs: 2_000, slowRpcTimeoutMs: 2_000 });
  const follower = followerOf(leader);
  await cluster.clock.advance(1_000);
  cluster.stall(leader, 5_000);
  expect(await outcomeAt(follower)).toBe('answered');
});

// Guards against an answer from a leader without a committed entry in its term, which may not know all committed commands.
test('a query on a new leader reflects the commands committed by the previous one', async () => {
  const old = await started(['a', 'b', 'c']);
  const attempt = cluster.propose(old, 'accepted');
  await cluster.until(() => attempt.outcome === 'done', 5_000);
  cluster.crash(old);
  await cluster.until(
    () => cluster.nodes.some(({ replica }) => replica?.status().state === 'leader'),
    10_000,
  );
  const next = cluster.nodes.find(({ replica }) => replica?.status().state === 'leader');
  expect(next && (await outcomeAt(next))).toBe('answered');
});
