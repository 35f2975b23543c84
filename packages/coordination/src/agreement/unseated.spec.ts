/** Leaders that are told of a higher term when they can't stand for election. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { Agreement, AppendRequestSchema } from '../gen/agreement/agreement_pb.js';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Looks at the clock in one turn of the event loop; many times more are a loop that never yields. */
const MOST_LOOKS = 10_000;

const PATIENCE_MS = 10_000;

let cluster: MemoryCluster;
let leader: Node;
let follower: Node;

beforeEach(async () => {
  cluster = new MemoryCluster(11, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, PATIENCE_MS)).toBe(true);
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

/** A voter gets a term that no quorum stands behind. */
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

/** Ends a loop that never yields, as no timeout of a test can. @returns whether there was one. */
function watch(node: Node): () => boolean {
  const { clock } = node;
  const look = clock.monotonic.bind(clock);
  let at = look();
  let looks = 0;
  let isSpinning = false;
  vi.spyOn(clock, 'monotonic').mockImplementation(() => {
    const now = look();
    looks = now === at ? looks + 1 : 0;
    at = now;
    if (isSpinning || looks <= MOST_LOOKS) return now;
    isSpinning = true;
    throw new Error('the event loop is held up');
  });
  return () => isSpinning;
}

// Guards against a leader with a failed disk that asks for votes in a loop and holds up its process for good.
test('a leader that cannot save the term that a voter told it of goes on answering', async () => {
  const isSpinning = watch(leader);
  leader.disk.syncError = 'EIO';
  leader.disk.writeError = 'EIO';
  raiseTerm(follower);
  await cluster.clock.advance(1_000);
  expect(isSpinning()).toBe(false);
});

// Guards against the same in a leader that is being removed: it has no vote any more.
test('a leader that a voter unseats while it leaves goes on answering', async () => {
  const isSpinning = watch(leader);
  cluster.network.isHeld = ({ method, content }) =>
    method === 'append' && (content as { entries?: unknown[] }).entries?.length === 1;
  const others = cluster.nodes.filter((node) => node !== leader);
  for (const node of cluster.nodes) void node.replica?.changeReplicas(others.map(({ address }) => address));
  const isLeaving = (): boolean =>
    leader.replica?.status().configuration?.voters.every(({ name }) => name !== leader.address.name) === true;
  expect(await cluster.until(isLeaving, PATIENCE_MS)).toBe(true);
  raiseTerm(follower);
  await cluster.clock.advance(1_000);
  expect(isSpinning()).toBe(false);
});
