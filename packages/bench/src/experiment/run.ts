/** One run of one row: a fresh cluster, the load, the fault, the figures. */
import { loadavg } from 'node:os';
import { Cluster } from '@jasmineroute/testkit';
import * as z from 'zod';
import { controlsOf, entriesOf, modelDocument, modelTargets, shapes } from '../deployment/index.js';
import type { Shape, ShapeName } from '../deployment/index.js';
import { freshFolder } from '../folder/index.js';
import { drive, reportOf } from '../load/index.js';
import { replay } from '../oracle/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import type { PlannedRequest } from '../workload/index.js';
import { rowFaults } from './fault.js';
import type { RunResult } from './result.js';
import type { ExperimentSettings, FaultName } from './settings.js';

/** One run. */
export interface RunSpec {
  readonly policy: string;
  readonly shape: ShapeName;
  readonly load: number;
  readonly fault: FaultName;
  readonly seed: number;
  /** Requests a second. */
  readonly rate: number;
}

const AFTER_MS = 5_000;
/** Load while the caches fill, in 100 of capacity: cold caches cost several times as much. */
const FILL_LOAD = 40;
const FILL_SEED = 1_000_000;
const engineStats = z.object({ computedTokens: z.number() });

const words = (text: string): string[] => text.split(' ').filter((word) => word !== '');

function startCluster(
  spec: RunSpec,
  shape: Shape,
  settings: ExperimentSettings,
  folder: string,
): Promise<Cluster> {
  const standInArgs = [
    ...['--prefill-rate', String(settings.prefillRate), '--step-ms', String(settings.stepMs)],
    ...['--slots', String(settings.slots), '--cache-blocks', String(settings.cacheBlocks)],
    ...['--event-delay-ms', String(settings.eventDelayMs), '--chunk-tokens', String(settings.chunkTokens)],
    ...rowFaults[spec.fault].standInArgs,
  ];
  const entryArgs = words(settings.entryArgs);
  const agentArgs = words(settings.agentArgs);
  return Cluster.start({
    folder,
    controls: controlsOf(shape),
    entries: entriesOf(shape).map((entry) => ({ ...entry, args: [...(entry.args ?? []), ...entryArgs] })),
    targets: modelTargets(shape, standInArgs).map((target) => ({ ...target, agentArgs })),
    documents: [modelDocument(shape, { policy: spec.policy, nonIdempotentCustomers: [] })],
    links: 'direct',
    logLevel: 'warn',
  });
}

async function computedTokens(cluster: Cluster): Promise<number> {
  const totals = await Promise.all(
    cluster.role('engine').map(async (engine) => {
      const answer = await fetch(`${engine.ownUrl}/stand-in/stats`);
      return engineStats.parse(await answer.json()).computedTokens;
    }),
  );
  return totals.reduce((sum, tokens) => sum + tokens, 0);
}

/** A light load while the caches fill, then the load of the row. */
function planRow(
  spec: RunSpec,
  { fillMs }: ExperimentSettings,
  faultAtMs: number,
  endMs: number,
): PlannedRequest[] {
  const shape = shapes[spec.shape];
  const calm = { ...defaultWorkload, seed: spec.seed, rate: spec.rate, durationMs: endMs };
  const fill = planWorkload(shape, {
    ...calm,
    seed: FILL_SEED + spec.seed,
    rate: (spec.rate * Math.min(spec.load, FILL_LOAD)) / spec.load,
    durationMs: fillMs,
  });
  const load = planWorkload(shape, rowFaults[spec.fault].workload(calm, faultAtMs));
  return [...fill, ...load.filter((planned) => planned.atMs >= fillMs)];
}

/** Runs it. */
export async function runOnce(spec: RunSpec, settings: ExperimentSettings): Promise<RunResult> {
  const shape = shapes[spec.shape];
  const rowFault = rowFaults[spec.fault];
  const beginMs = settings.fillMs + settings.warmUpMs;
  const endMs = beginMs + settings.durationMs;
  const faultAtMs = beginMs + settings.durationMs / 3;
  const plan = planRow(spec, settings, faultAtMs, endMs);
  const oracle = replay(plan, settings.cacheBlocks * shape.targets);
  const name = `${spec.shape}-${spec.load}-${spec.fault}-${spec.policy}-${spec.seed}`;
  const cluster = await startCluster(spec, shape, settings, freshFolder(settings.folder, name));
  try {
    const records = await drive(plan, {
      urls: cluster.entryUrls,
      events: rowFault.events(cluster, faultAtMs),
    });
    return {
      ...spec,
      report: reportOf(records, oracle, beginMs, endMs),
      before: reportOf(records, oracle, beginMs, faultAtMs),
      after: reportOf(records, oracle, faultAtMs, faultAtMs + AFTER_MS),
      engineComputedTokens: await computedTokens(cluster),
      machineLoad: loadavg()[0] ?? 0,
      records: settings.keepRecords ? records : undefined,
    };
  } finally {
    await cluster.stop(0);
  }
}
