// Real entries and agents under load at one node's share of the requests: processor time for a chunk and a request.
import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Cluster } from '@jasmineroute/testkit';
import {
  controlsOf,
  entriesOf,
  modelDocument,
  modelTargets,
  shapes,
} from '../../../packages/bench/dist/deployment/index.js';
import { share } from '../letter.mjs';
import { processorSeconds, residentBytes } from '../meter.mjs';

const PROGRAM = 'packages/bench/dist/main.js';
const RATE = Math.round(share.requestsPerNode);
const LOAD_MS = 7_000;
/** The run for latencies; while it warms up no answer has ended yet, and all slots fill at one time. */
const PEAK_MS = 16_000;
const PEAK_WARM_UP_MS = 6_000;
/** Spreads small seeds over all bits: the generator's first numbers are hardly random after a small one. */
const SEED_FACTOR = 0x9e3779b1;
/** Tokens of each answer at a fixed rate of requests; the last is the letter's. */
const TOKENS = [2, 20, 70, Math.round(share.tokensPerRequest)];
/** Requests a second at two tokens each. */
const RATES = [1.5, 10, 40, 120];
const STEP_MS = 20;
const STAND_IN = [
  '--prefill-rate',
  '40000',
  '--step-ms',
  String(STEP_MS),
  '--slots',
  '32',
  '--chunk-tokens',
  '1024',
];

function startCluster(folder) {
  // The deadline of the first token is asked for, so latency is the objective.
  const shape = { ...shapes.guild, objective: 'latency' };
  return Cluster.start({
    folder,
    controls: controlsOf(shape).slice(0, 1),
    entries: entriesOf(shape).slice(0, 1),
    targets: modelTargets(shape, STAND_IN),
    documents: [modelDocument(shape, { policy: 'default', nonIdempotentCustomers: [] })],
    links: 'direct',
    logLevel: 'warn',
  });
}

async function drive(folder, url, rate, tokens, seed, { ms = LOAD_MS, warmUpMs = 0 } = {}) {
  const out = join(folder, `load-${seed}.json`);
  const flags = [
    '--shape',
    'guild',
    '--rate',
    rate,
    '--duration-ms',
    ms,
    '--warm-up-ms',
    warmUpMs,
    '--output-tokens',
    tokens,
  ];
  const args = [
    PROGRAM,
    'load',
    '--urls',
    url,
    ...flags.map(String),
    '--seed',
    String(Math.imul(seed, SEED_FACTOR) >>> 0),
    '--out',
    out,
  ];
  await promisify(execFile)(process.execPath, args);
  return JSON.parse(readFileSync(out, 'utf8'));
}

const sum = (values) => values.reduce((total, value) => total + value, 0);

async function point(cluster, folder, rate, tokens, seed, times) {
  const [entry, ...agents] = [...cluster.role('entry'), ...cluster.role('agent')].map(
    (member) => member.process.pid,
  );
  const before = {
    entry: processorSeconds(entry),
    agents: sum(agents.map(processorSeconds)),
    at: performance.now(),
  };
  const { report, records } = await drive(folder, cluster.entryUrls[0], rate, tokens, seed, times);
  return {
    rate,
    tokens,
    requests: records.length,
    complete: records.filter(({ outcome }) => outcome === 'complete').length,
    chunks: sum(records.map(({ outputTokens }) => outputTokens)),
    entrySeconds: processorSeconds(entry) - before.entry,
    agentSeconds: sum(agents.map(processorSeconds)) - before.agents,
    elapsedSeconds: (performance.now() - before.at) / 1_000,
    entryResident: residentBytes(entry),
    agentResident: sum(agents.map(residentBytes)) / agents.length,
    firstTokenMs: report.firstTokenMs,
    tokenGapMs: report.tokenGapMs,
    longestGapMs: report.longestGapMs,
  };
}

/** Points against chunks at a fixed rate, against requests, and one engine asked directly for comparison. */
export async function measureStream() {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-stream-'));
  const cluster = await startCluster(folder);
  try {
    // Once without counting: code is compiled and caches fill.
    await point(cluster, folder, RATE * 2, 20, 100);
    const byChunks = [];
    for (const [place, tokens] of TOKENS.entries())
      byChunks.push(await point(cluster, folder, RATE, tokens, 10 + place));
    const byRequests = [];
    for (const [place, rate] of RATES.entries())
      byRequests.push(await point(cluster, folder, rate, 2, 20 + place));
    const times = { ms: PEAK_MS, warmUpMs: PEAK_WARM_UP_MS };
    const peak = await point(cluster, folder, RATE, TOKENS.at(-1), 40, times);
    const [engine] = cluster.role('engine');
    const { report } = await drive(folder, `http://${engine.address}`, RATE, 20, 30);
    return {
      stepMs: STEP_MS,
      targets: cluster.role('agent').length,
      byChunks,
      byRequests,
      peak,
      direct: report,
    };
  } finally {
    await cluster.stop(0);
    rmSync(folder, { recursive: true, force: true });
  }
}
