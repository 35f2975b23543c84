/** Measures the CPU time of a decision. Probes are answered at once, so that network time is excluded. */
import { performance } from 'node:perf_hooks';
import { systemClock } from '@jasmineroute/core';
import { policies } from '../policy/index.js';
import type { Candidate, Job, Policy, ProbeReading } from '../policy/index.js';
import { BLOCK_TOKENS, createChain } from '../prefix/index.js';
import { quantile, rounded } from './table.js';
import type { Row } from './table.js';

const TARGETS = [6, 13, 60, 500];
const DECISIONS = 4_000;
const WARM_UP = 1_000;
const COLLECTIONS = 200;
/** Number of in-flight requests of the entry. */
const IN_FLIGHT = 24;
const PREFIX_BYTES = 28_000;

const reading: ProbeReading = {
  engineIncarnation: 'one',
  accepting: true,
  cachedTokens: 4_000,
  load: {
    running: 8,
    queued: 0,
    queuedTokens: 2_000,
    aheadTokens: 2_000,
    prefillRate: 8_000,
    tokenMs: 20,
    capacity: 16,
  },
  estimateMs: 300,
};

const candidates = (count: number): Candidate[] =>
  Array.from({ length: count }, (_, place) => ({
    name: `agent-${place}`,
    engineIncarnation: 'one',
    dataCentre: `dc-${place % 4}`,
    capacity: 16,
    suspect: false,
  }));

/** A prompt of about 7,500 tokens. */
function jobOf(turn: number): Job {
  const prefix = `collection ${turn % COLLECTIONS} `.padEnd(PREFIX_BYTES, `${turn % COLLECTIONS}.`);
  const prompt = new TextEncoder().encode(`${prefix}${`question ${turn} `.repeat(150)}`);
  const namespace = { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' };
  const chain = createChain(namespace, prompt);
  return {
    service: 'lm-pool',
    customer: 'members',
    model: 'caption',
    chain,
    promptTokens: chain.length * BLOCK_TOKENS,
    priority: 50,
    deadlineMs: 10_000,
    objective: 'latency',
    excluded: new Set(),
  };
}

async function measurePolicy(policy: Policy, targets: readonly Candidate[]): Promise<number[]> {
  const samples: number[] = [];
  const inFlight: { candidate: Candidate; job: Job }[] = [];
  for (let turn = 0; turn < WARM_UP + DECISIONS; turn += 1) {
    const job = jobOf(turn);
    const began = performance.now();
    const choice = await policy.choose(job, targets);
    const candidate = choice.order[0];
    if (candidate === undefined) continue;
    policy.dispatched(candidate, job);
    if (turn >= WARM_UP) samples.push((performance.now() - began) * 1_000);
    inFlight.push({ candidate, job });
    const oldest = inFlight.length > IN_FLIGHT ? inFlight.shift() : undefined;
    if (oldest !== undefined) policy.settled({ ...oldest, phase: 'end', ok: true, load: reading.load });
  }
  return samples;
}

/** Returns one row per policy and number of targets. */
export async function measureDecision(): Promise<Row[]> {
  const rows: Row[] = [];
  for (const name of policies.names()) {
    for (const count of TARGETS) {
      const policy = policies.get(name)({
        clock: systemClock,
        dataCentre: 'dc-0',
        seed: 1,
        probe: () => Promise.resolve(reading),
      });
      const samples = await measurePolicy(policy, candidates(count));
      const [p50, p99] = [quantile(samples, 0.5), quantile(samples, 0.99)].map((value) => rounded(value));
      rows.push({ policy: name, targets: count, 'p50 µs': p50 ?? 0, 'p99 µs': p99 ?? 0 });
    }
  }
  return rows;
}
