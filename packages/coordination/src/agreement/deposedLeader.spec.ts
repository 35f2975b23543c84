/** Leaders deposed by a higher term at a time when they can't campaign. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { Agreement, AppendRequestSchema } from '../gen/agreement/agreement_pb.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Limit on clock reads at the same time; more than that indicate a loop that never yields. */
const MAX_CLOCK_READS = 10_000;

const TIMEOUT_MS = 10_000;

let cluster: MemoryCluster;
let leader: Node;
let follower: Node;

beforeEach(async () => {
  cluster = new MemoryCluster(11, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, TIMEOUT_MS)).toBe(true);
  await cluster.clock.advance(500);
  const [first, ...others] = [cluster.leader(), ...cluster.nodes.filter((node) => node !== cluster.leader())];
  const [second] = others;
  if (first === undefined || second === undefined) throw new Error('no leader');
  [leader, follower] = [first, second];
});

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

/** Raises the term of one voter without a quorum. */
function raiseTerm(node: Node): void {
  const status = node.replica?.status();
  const client = createClient(Agreement, cluster.network.connect('test', node.address.address));
  const request = {
    clusterId: status?.configuration?.clusterId ?? '',
    replicaId: status?.replicaId ?? '',
    leader: 'unknown',
    term: (status?.term ?? 0n) + 5n,
    previousIndex: 1_000n,
  };
  void client.append(create(AppendRequestSchema, request));
}

/** Breaks a loop that never yields, which a test timeout cannot do. @returns a function that reports whether there was one. */
function detectBusyLoop(node: Node): () => boolean {
  const { clock } = node;
  const readClock = clock.monotonic.bind(clock);
  let at = readClock();
  let reads = 0;
  let isSpinning = false;
  vi.spyOn(clock, 'monotonic').mockImplementation(() => {
    const now = readClock();
    reads = now === at ? reads + 1 : 0;
    at = now;
    if (isSpinning || reads <= MAX_CLOCK_READS) return now;
    isSpinning = true;
    throw new Error('the event loop is blocked');
  });
  return () => isSpinning;
}

// Guards against a leader with a failed disk that requests votes in a busy loop and blocks its process for good.
test('a leader that cannot save a higher term keeps answering', async () => {
  const isSpinning = detectBusyLoop(leader);
  leader.disk.syncError = 'EIO';
  leader.disk.writeError = 'EIO';
  raiseTerm(follower);
  await cluster.clock.advance(1_000);
  expect(isSpinning()).toBe(false);
});

// Guards against the same busy loop in a leader that is being removed and is no longer a voter.
test('a leader that is deposed while it is being removed keeps answering', async () => {
  const isSpinning = detectBusyLoop(leader);
  cluster.network.isHeld = ({ method, content }) =>
    method === 'append' && (content as { entries?: unknown[] }).entries?.length === 1;
  const others = cluster.nodes.filter((node) => node !== leader);
  for (const node of cluster.nodes) void node.replica?.changeReplicas(others.map(({ address }) => address));
  const isLeaving = (): boolean =>
    leader.replica?.status().configuration?.voters.every(({ name }) => name !== leader.address.name) === true;
  expect(await cluster.until(isLeaving, TIMEOUT_MS)).toBe(true);
  raiseTerm(follower);
  await cluster.clock.advance(1_000);
  expect(isSpinning()).toBe(false);
});
