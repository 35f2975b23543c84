/** Faults of experiment rows: what they change before the start, and what they do during the run. */
import { systemClock } from '@jasmineroute/core';
import type { Cluster } from '@jasmineroute/testkit';
import type { TimedEvent } from '../load/index.js';
import type { WorkloadOptions } from '../workload/index.js';
import type { FaultName } from './settings.js';

/** One fault. */
export interface RowFault {
  readonly standInArgs: readonly string[];
  workload(options: WorkloadOptions, atMs: number): WorkloadOptions;
  events(cluster: Cluster, atMs: number): TimedEvent[];
}

const EMPTY_RETURN_MS = 1_000;

const calm: RowFault = {
  standInArgs: [],
  workload: (options) => options,
  events: () => [],
};

const during = (name: string, run: (cluster: Cluster) => Promise<void>): RowFault => ({
  ...calm,
  events: (cluster, atMs) => [{ atMs, name, run: () => run(cluster) }],
});

async function crashEngine(cluster: Cluster): Promise<void> {
  const engine = cluster.role('engine')[0];
  if (engine === undefined) return;
  await engine.kill();
  await systemClock.sleep(EMPTY_RETURN_MS);
  await engine.start();
}

async function restartEntries(cluster: Cluster): Promise<void> {
  const entries = cluster.role('entry');
  await Promise.all(entries.map((entry) => entry.kill()));
  await Promise.all(entries.map((entry) => entry.start()));
}

async function slowEngine(cluster: Cluster): Promise<void> {
  const engine = cluster.role('engine')[0];
  if (engine === undefined) return;
  const answer = await fetch(`${engine.ownUrl}/stand-in/slow`, { method: 'POST', body: '{"factor":4}' });
  await answer.arrayBuffer();
}

/** Faults by name. */
export const rowFaults: Readonly<Record<FaultName, RowFault>> = {
  none: calm,
  crash: during('crash', crashEngine),
  shift: { ...calm, workload: (options, atMs) => ({ ...options, shiftsAtMs: [atMs] }) },
  gaps5: { ...calm, standInArgs: ['--event-loss', '0.05'] },
  'restart-entries': during('restart-entries', restartEntries),
  slow4x: during('slow4x', slowEngine),
};
