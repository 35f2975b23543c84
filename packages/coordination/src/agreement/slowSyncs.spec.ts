/** Elections after starts of all replicas whose disks are slow. */
import { expect, test } from 'vitest';
import { MemoryCluster, seeded } from '../testing/index.js';

/** Least and longest time of a sync, milliseconds. */
const SYNC_MS = [100, 500] as const;

/** Time between a loss of power and the first start, and over which the replicas start, milliseconds. */
const DOWNTIME_MS = 500;
const SPREAD_MS = 300;

/** Time between the first and the second loss of power, milliseconds. */
const UPTIME_MS = 1_500;

/** Time after the second start within which a read must be answered, milliseconds. */
const CONTACT_MS = 3_000;

/** Timeout of one query, milliseconds. */
const QUERY_MS = 900;

const SEEDS = Array.from({ length: 10 }, (_, at) => at + 1);

async function restartAll(cluster: MemoryCluster, random: () => number): Promise<void> {
  const [leastMs, longestMs] = SYNC_MS;
  for (const node of cluster.nodes) cluster.crash(node);
  await cluster.clock.advance(DOWNTIME_MS);
  for (const node of cluster.nodes) {
    cluster.clock.after(random() * SPREAD_MS, () => {
      void cluster.start(node).then(() => {
        node.disk.syncDelay = () => node.clock.sleep(leastMs + (longestMs - leastMs) * random());
      });
    });
  }
  await cluster.clock.advance(SPREAD_MS + 10);
}

/** Queries all replicas until one answers. @returns the milliseconds until then; Infinity beyond the limit. */
async function firstReadMs(cluster: MemoryCluster): Promise<number> {
  const startedAt = cluster.clock.monotonic();
  const elapsedMs = (): number => cluster.clock.monotonic() - startedAt;
  while (elapsedMs() < CONTACT_MS) {
    const queries = cluster.nodes.map((node) => cluster.query(node, QUERY_MS));
    const isAnswered = (): boolean => queries.some(({ outcome }) => outcome === 'answered');
    const isRefused = (): boolean => queries.every(({ outcome }) => outcome === 'refused');
    await cluster.until(() => isAnswered() || isRefused(), CONTACT_MS - elapsedMs());
    if (isAnswered()) return elapsedMs();
    await cluster.clock.advance(10);
  }
  return Infinity;
}

// Guards against elections that are lost again and again, as the answers of voters with slow disks come too late.
test.each([3, 4, 5])('all of %i replicas start twice, and a read is answered in time', async (count) => {
  const late: number[] = [];
  for (const seed of SEEDS) {
    const random = seeded(seed);
    const cluster = new MemoryCluster(seed, ['a', 'b', 'c', 'd', 'e'].slice(0, count));
    await cluster.startAll();
    expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
    await restartAll(cluster, random);
    await cluster.clock.advance(UPTIME_MS);
    await restartAll(cluster, random);
    if ((await firstReadMs(cluster)) > CONTACT_MS) late.push(seed);
    expect(cluster.violations).toEqual([]);
    for (const node of cluster.nodes) cluster.crash(node);
  }
  expect(late).toEqual([]);
});
