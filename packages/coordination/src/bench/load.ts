/** Load on something that commits: one client for the latency, many for the rate. */
import { performance } from 'node:perf_hooks';

/** Commits one change. */
export type Commit = (client: number, count: number) => Promise<void>;

/** Figures of one run. */
export interface Figures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
}

/** Changes before the measurement. */
const WARM_UP = 50;

/** Changes of the single client. */
const SEQUENTIAL = 300;

/** Clients at a time. */
const CLIENTS = 64;

/** Time that they go on. */
const BUSY_MS = 1_500;

const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;

async function sequential(commit: Commit, changes: number): Promise<number[]> {
  const times: number[] = [];
  for (let count = 0; count < changes; count += 1) {
    const begun = performance.now();
    await commit(0, count);
    times.push(performance.now() - begun);
  }
  return times.sort((a, b) => a - b);
}

async function concurrent(commit: Commit): Promise<number> {
  const begun = performance.now();
  let done = 0;
  const client = async (number: number): Promise<void> => {
    for (let count = 0; performance.now() - begun < BUSY_MS; count += 1) {
      await commit(number, count);
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, number) => client(number)));
  return (done * 1_000) / (performance.now() - begun);
}

/** Runs both loads. */
export async function measure(commit: Commit): Promise<Figures> {
  await sequential(commit, WARM_UP);
  const times = await sequential(commit, SEQUENTIAL);
  const perSecond = await concurrent(commit);
  return { p50Ms: quantile(times, 0.5), p99Ms: quantile(times, 0.99), perSecond };
}
