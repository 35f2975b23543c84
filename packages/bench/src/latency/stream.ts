/** What streams cost an entry and an agent: processor time of each chunk, memory of each open stream. */
import { join } from 'node:path';
import { systemClock } from '@jasmineroute/core';
import { Cluster } from '@jasmineroute/testkit';
import { modelDocument, modelTargets, shapes } from '../deployment/index.js';
import type { Shape } from '../deployment/index.js';
import { createDispatcher, send } from '../load/index.js';
import type { RequestRecord } from '../load/index.js';
import { processorMs, residentBytes } from '../usage/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import type { LatencySettings } from './settings.js';

/** Cost of forwarding. */
export interface StreamCost {
  readonly chunks: number;
  /** Chunks a second while measured. */
  readonly chunksPerSecond: number;
  /** Processor time of each chunk, microseconds, idle use taken off. */
  readonly entryChunkUs: number;
  readonly agentChunkUs: number;
  readonly engineChunkUs: number;
  readonly openStreams: number;
  /** Resident bytes for each open stream. */
  readonly entryStreamBytes: number;
  readonly agentStreamBytes: number;
  readonly incomplete: number;
}

const IDLE_MS = 5_000;
const SETTLE_MS = 3_000;
const CHUNK_STEP_MS = 5;
const MEMORY_STEP_MS = 1_000;
const MEMORY_TOKENS = 20;

const single: Shape = { ...shapes.trust, targets: 1, entries: 1, controls: 1 };

function startSingle(
  settings: LatencySettings,
  folder: string,
  stepMs: number,
  slots: number,
): Promise<Cluster> {
  const args = ['--prefill-rate', '10000000', '--chunk-tokens', '1000000', '--cache-blocks', '200000'];
  const dataCentre = single.dataCentres[0] ?? '';
  return Cluster.start({
    folder,
    controls: [{ name: 'control-1', dataCentre }],
    entries: [{ name: 'entry-1', dataCentre }],
    targets: modelTargets(single, [...args, '--step-ms', String(stepMs), '--slots', String(slots)]).map(
      (target) => ({ ...target, agentArgs: ['--queue', String(slots)] }),
    ),
    documents: [modelDocument(single, { policy: settings.policy, nonIdempotentCustomers: [] })],
    links: 'direct',
    logLevel: 'warn',
  });
}

interface Usage {
  readonly entry: number;
  readonly agent: number;
  readonly engine: number;
}

const usageOf = (cluster: Cluster, read: (pid: number) => number): Usage => ({
  entry: read(cluster.member('entry-1').process.pid),
  agent: read(cluster.member('model-1').process.pid),
  engine: read(cluster.member('model-1-target').process.pid),
});

const minus = (a: Usage, b: Usage): Usage => ({
  entry: a.entry - b.entry,
  agent: a.agent - b.agent,
  engine: a.engine - b.engine,
});

/** Sends a number of requests at once. */
function sendAll(cluster: Cluster, count: number, tokens: number, seed: number): Promise<RequestRecord[]> {
  const plan = planWorkload(single, {
    ...defaultWorkload,
    seed,
    rate: 2_000,
    durationMs: 60_000,
    outputTokens: tokens,
    deadlineMs: 120_000,
  }).slice(0, count);
  const dispatcher = createDispatcher();
  const clock = systemClock;
  const url = cluster.entryUrls[0] ?? '';
  const options = { url: () => url, dispatcher, clock, redialMs: 0, giveUpMs: 120_000 };
  const sent = plan.map((planned) => send(planned, clock.monotonic(), options));
  return Promise.all(sent).finally(() => dispatcher.destroy());
}

const incompleteOf = (records: readonly RequestRecord[]): number =>
  records.filter(({ outcome }) => outcome !== 'complete').length;

async function measureChunks(settings: LatencySettings, folder: string) {
  const { streams, streamTokens, seed } = settings;
  const cluster = await startSingle(settings, folder, CHUNK_STEP_MS, streams);
  try {
    await sendAll(cluster, streams, streamTokens, seed);
    const idleBegin = usageOf(cluster, processorMs);
    await systemClock.sleep(IDLE_MS);
    const idle = minus(usageOf(cluster, processorMs), idleBegin);
    const begin = usageOf(cluster, processorMs);
    const from = systemClock.monotonic();
    const records = await sendAll(cluster, streams, streamTokens, seed + 1);
    const elapsedMs = systemClock.monotonic() - from;
    const used = minus(usageOf(cluster, processorMs), begin);
    const chunks = records.reduce((sum, { outputTokens }) => sum + outputTokens, 0);
    const cost = (role: keyof Usage): number =>
      Math.round(((used[role] - (idle[role] * elapsedMs) / IDLE_MS) * 1_000) / chunks);
    return {
      chunks,
      chunksPerSecond: Math.round(chunks / (elapsedMs / 1_000)),
      entryChunkUs: cost('entry'),
      agentChunkUs: cost('agent'),
      engineChunkUs: cost('engine'),
      incomplete: incompleteOf(records),
    };
  } finally {
    await cluster.stop(0);
  }
}

async function measureMemory(settings: LatencySettings, folder: string) {
  const { openStreams, seed } = settings;
  const cluster = await startSingle(settings, folder, MEMORY_STEP_MS, openStreams);
  try {
    // Code and buffers that any first requests load are no cost of a stream.
    await sendAll(cluster, Math.ceil(openStreams / 10), 1, seed);
    const begin = usageOf(cluster, residentBytes);
    const sent = sendAll(cluster, openStreams, MEMORY_TOKENS, seed + 1);
    await systemClock.sleep((MEMORY_TOKENS / 2) * MEMORY_STEP_MS + SETTLE_MS);
    const held = minus(usageOf(cluster, residentBytes), begin);
    const records = await sent;
    return {
      openStreams,
      entryStreamBytes: Math.round(held.entry / openStreams),
      agentStreamBytes: Math.round(held.agent / openStreams),
      incomplete: incompleteOf(records),
    };
  } finally {
    await cluster.stop(0);
  }
}

/** Measures it. */
export async function measureStreams(settings: LatencySettings, folder: string): Promise<StreamCost> {
  const chunks = await measureChunks(settings, join(folder, 'chunks'));
  const memory = await measureMemory(settings, join(folder, 'memory'));
  return { ...chunks, ...memory, incomplete: chunks.incomplete + memory.incomplete };
}
