/** Replicas that return with an empty disk: until they vote again, losing one more disk can lose the quorum. */
import { describe, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);

/** Time for which a replica is down, milliseconds. */
const DOWNTIME_MS = 1_000;

/**
 * Maximum message delay, and time limit from the start of a replica with an empty disk until it votes, milliseconds. The
 * target for a process is 1 s, or 3 s if all of them are slow; the difference is its start time.
 */
const BOUNDS = [
  { delayMs: 10, boundMs: 500 },
  { delayMs: 120, boundMs: 2_000 },
];

/** Interval between the commands of a busy cluster, milliseconds. */
const COMMAND_MS = 5;

/** Timeout when waiting for a replica to vote, milliseconds. */
const VOTE_TIMEOUT_MS = 20_000;

let cluster: MemoryCluster;

/** Checks that no safety rule was violated, and stops all replicas. */
function finish(): void {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
}

const isVoting = (node: Node): boolean => {
  const id = node.replica?.status().replicaId;
  const { voters = [] } = cluster.leader()?.replica?.status().configuration ?? {};
  return voters.some(({ replicaId }) => replicaId === id);
};

/** Wipes the disk of a replica. @returns the time from its restart until it votes, milliseconds. */
async function timeToVote(isSelected: (node: Node) => boolean): Promise<number> {
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  cluster.propose(cluster.leader() ?? cluster.find('a'), 'kept');
  await cluster.clock.advance(2_000);
  const wiped = cluster.nodes.find(isSelected);
  if (wiped === undefined) throw new Error('no such replica');
  cluster.wipe(wiped);
  await cluster.clock.advance(DOWNTIME_MS);
  const startedAt = cluster.clock.monotonic();
  await cluster.start(wiped);
  await cluster.until(() => isVoting(wiped), VOTE_TIMEOUT_MS);
  return cluster.clock.monotonic() - startedAt;
}

/** Wipes the disk of a follower under a steady load. @returns the time from its restart until it votes, milliseconds. */
async function busyTimeToVote(): Promise<number> {
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const returning = cluster.nodes.find((node) => node !== cluster.leader()) ?? cluster.find('a');
  cluster.wipe(returning);
  await cluster.clock.advance(DOWNTIME_MS);
  const startedAt = cluster.clock.monotonic();
  await cluster.start(returning);
  for (let n = 0; !isVoting(returning) && cluster.clock.monotonic() - startedAt < VOTE_TIMEOUT_MS; n += 1) {
    cluster.propose(cluster.leader() ?? cluster.find('a'), `command ${n}`);
    await cluster.clock.advance(COMMAND_MS);
  }
  return cluster.clock.monotonic() - startedAt;
}

const selectors: Record<string, (node: Node) => boolean> = {
  'the leader': (node) => node === cluster.leader(),
  'a follower': (node) => node !== cluster.leader(),
};

// Guards against a second lost disk while the replacement of the first one has no vote yet, which leaves no quorum for
// good.
describe.each(Object.keys(selectors))('the empty disk of %s', (which) => {
  test.each(BOUNDS)(
    'votes within $boundMs ms with message delays up to $delayMs ms',
    async ({ delayMs, boundMs }) => {
      const times: number[] = [];
      for (const seed of SEEDS) {
        cluster = new MemoryCluster(seed, ['a', 'b', 'c']);
        cluster.network.maxDelayMs = delayMs;
        await cluster.startAll();
        times.push(await timeToVote(selectors[which] ?? (() => false)));
        finish();
      }
      expect(Math.max(...times)).toBeLessThanOrEqual(boundMs);
    },
  );
});

// Guards against a learner that never catches up, because entries are committed faster than its answers arrive.
test('an empty disk votes within 3 s under a steady load with message delays up to 500 ms', async () => {
  const times: number[] = [];
  for (const seed of SEEDS) {
    cluster = new MemoryCluster(seed, ['a', 'b', 'c', 'd']);
    cluster.network.maxDelayMs = 500;
    await cluster.startAll();
    times.push(await busyTimeToVote());
    finish();
  }
  expect(Math.max(...times)).toBeLessThanOrEqual(3_000);
});
