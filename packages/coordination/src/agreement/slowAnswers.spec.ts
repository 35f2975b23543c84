/** Replicas whose answers always come late, within the longest timeout of a call. */
import { afterEach, beforeEach, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Time for which each request is held up, milliseconds: between the timeout without estimate and the longest one. */
const HELD_MS = 1_200;

/** Time after which the timeouts must have adapted, milliseconds. */
const ADAPTED_MS = 5_000;

/** Time of a query, milliseconds. */
const QUERY_MS = 4_000;

let cluster: MemoryCluster;
let leader: Node;
let slow: Node;

beforeEach(async () => {
  cluster = new MemoryCluster(5, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(1_000);
  const found = cluster.leader();
  const follower = cluster.nodes.find((node) => node !== found);
  if (found === undefined || follower === undefined) throw new Error('no leader');
  [leader, slow] = [found, follower];
});

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

/** Holds up the requests from one replica to another. */
function holdUp(sender: Node, receiver: Node): void {
  const { network, clock } = cluster;
  network.isHeld = (message) => {
    const { from, to, isAnswer } = message;
    if (isAnswer || from !== sender.address.address || to !== receiver.address.address) return false;
    clock.after(HELD_MS, () => {
      network.release((held) => held === message);
    });
    return true;
  };
}

// Guards against timeouts that become shorter after a timeout, so that a slow replica is cut off for as long as it is slow.
test('a slow replica is reached', async () => {
  holdUp(leader, slow);
  await cluster.clock.advance(ADAPTED_MS);
  const attempt = cluster.propose(leader, 'for all');
  const holds = (): boolean => slow.createRecorder.commands.includes('for all');
  expect(await cluster.until(holds, QUERY_MS)).toBe(true);
  expect(attempt.outcome).toBe('done');
  const drops = countDrops(leader, slow);
  await cluster.clock.advance(ADAPTED_MS);
  expect(drops()).toBe(0);
});

// Guards against the same at a replica that forwards reads, as they end with each connection.
test('a replica that reaches the leader late keeps its connection and answers reads', async () => {
  holdUp(slow, leader);
  await cluster.clock.advance(ADAPTED_MS);
  const drops = countDrops(slow, leader);
  const query = cluster.query(slow, QUERY_MS);
  await cluster.clock.advance(ADAPTED_MS);
  expect(query.outcome).toBe('answered');
  expect(drops()).toBe(0);
});

/** Counts the connections that are dropped from now on. */
function countDrops(from: Node, to: Node): () => number {
  const { network } = cluster;
  const drop = network.drop.bind(network);
  let count = 0;
  network.drop = (dropping, dropped) => {
    if (dropping === from.address.address && dropped === to.address.address) count += 1;
    drop(dropping, dropped);
  };
  return () => count;
}
