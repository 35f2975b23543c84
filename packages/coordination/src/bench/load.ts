/** Load generator: one client to measure the commit latency, many to measure the throughput. */
import { performance } from 'node:perf_hooks';

/** Commits one change. */
export type Commit = (client: number, count: number) => Promise<void>;

/** Results of one run. */
export interface Measurement {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
}

/** Commits before the measurement. */
const WARM_UP_COMMITS = 50;

/** Commits of the single client. */
const SEQUENTIAL_COMMITS = 300;

/** Concurrent clients. */
const CLIENTS = 64;

/** Duration of the concurrent load. */
const CONCURRENT_MS = 1_500;

const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;

async function sequential(commit: Commit, commits: number): Promise<number[]> {
  const times: number[] = [];
  for (let count = 0; count < commits; count += 1) {
    const startedAt = performance.now();
    await commit(0, count);
    times.push(performance.now() - startedAt);
  }
  return times.sort((a, b) => a - b);
}

async function concurrent(commit: Commit): Promise<number> {
  const startedAt = performance.now();
  let done = 0;
  const client = async (number: number): Promise<void> => {
    for (let count = 0; performance.now() - startedAt < CONCURRENT_MS; count += 1) {
      await commit(number, count);
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, number) => client(number)));
  return (done * 1_000) / (performance.now() - startedAt);
}

/** Measures the latency with one client, then the throughput with many. */
export async function measure(commit: Commit): Promise<Measurement> {
  await sequential(commit, WARM_UP_COMMITS);
  const times = await sequential(commit, SEQUENTIAL_COMMITS);
  const perSecond = await concurrent(commit);
  return { p50Ms: quantile(times, 0.5), p99Ms: quantile(times, 0.99), perSecond };
}
