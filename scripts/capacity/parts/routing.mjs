// Processor time of a decision against targets, and of the block index against events; its bytes against blocks.
import { systemClock } from '@jasmineroute/core';
import {
  BLOCK_BYTES,
  BLOCK_TOKENS,
  BlockIndex,
  createChain,
  loadHasher,
  policies,
} from '@jasmineroute/routing';
import { processorOf } from '../meter.mjs';

const TARGETS = [10, 100, 817, 4_900];
const DECISIONS = 1_500;
const WARM_UP = 500;
const PROMPT_BYTES = 30_000;
const UNDER_WAY = 24;

const BLOCKS = [1_600, 16_000, 163_000, 800_000];
const EVENT_BLOCKS = 4;
const PROMPT_BLOCKS = 500;
const LOOKUPS = 400;

const namespace = { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' };

const reading = {
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

const candidatesOf = (count) =>
  Array.from({ length: count }, (_, place) => ({
    name: `agent-${place}`,
    engineIncarnation: 'one',
    dataCentre: `dc-${place % 15}`,
    capacity: 16,
    suspect: false,
  }));

function jobOf(turn) {
  const prompt = new TextEncoder().encode(`collection ${turn % 200} `.padEnd(PROMPT_BYTES, `${turn % 200}.`));
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

/** Microseconds of a decision and of its bookkeeping; probes answer at once. */
async function decisionMicros(count) {
  let probes = 0;
  const policy = policies.get('default')({
    clock: systemClock,
    dataCentre: 'dc-0',
    seed: 1,
    probe: () => {
      probes += 1;
      return Promise.resolve(reading);
    },
  });
  const targets = candidatesOf(count);
  const jobs = Array.from({ length: WARM_UP + DECISIONS }, (_, turn) => jobOf(turn));
  const underWay = [];
  const decide = async (job) => {
    const [candidate] = (await policy.choose(job, targets)).order;
    policy.dispatched(candidate, job);
    underWay.push({ candidate, job });
    if (underWay.length <= UNDER_WAY) return;
    policy.settled({ ...underWay.shift(), phase: 'end', ok: true, load: reading.load });
  };
  for (const job of jobs.slice(0, WARM_UP)) await decide(job);
  probes = 0;
  const seconds = await processorOf(async () => {
    for (const job of jobs.slice(WARM_UP)) await decide(job);
  });
  return { micros: (seconds * 1e6) / DECISIONS, probes: probes / DECISIONS };
}

async function chainMicros() {
  const prompt = new Uint8Array(PROMPT_BYTES).map((_, place) => (place * 31) % 251);
  for (let turn = 0; turn < WARM_UP; turn += 1) createChain(namespace, prompt);
  const seconds = await processorOf(() => {
    for (let turn = 0; turn < DECISIONS; turn += 1) createChain(namespace, prompt);
  });
  return (seconds * 1e6) / DECISIONS;
}

const tokensOf = (prompt) =>
  new Uint32Array(PROMPT_BLOCKS * BLOCK_TOKENS).map((_, place) => (prompt * 7_919 + place) >>> 0);
const nameOf = (prompt, block) => `${prompt.toString(16)}-${block.toString(16)}`;

function storedEvent(prompt, tokens, block, sequence) {
  return {
    type: 'stored',
    incarnation: 'one',
    sequence,
    parent: block === 0 ? null : nameOf(prompt, block - 1),
    hashes: Array.from({ length: EVENT_BLOCKS }, (_, place) => nameOf(prompt, block + place)),
    tokens: [...tokens.subarray(block * BLOCK_TOKENS, (block + EVENT_BLOCKS) * BLOCK_TOKENS)],
    blockTokens: BLOCK_TOKENS,
    salt: namespace.customer,
    model: namespace.model,
    adapter: '',
    version: '1',
  };
}

/** Fills an index prompt by prompt; only the time of applying counts, not that of making events. */
async function indexPoint(blocks) {
  const index = new BlockIndex({ capacity: blocks });
  index.begin('one');
  const prompts = Math.max(1, Math.floor(blocks / PROMPT_BLOCKS));
  let [sequence, seconds] = [0, 0];
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    const tokens = tokensOf(prompt);
    const events = [];
    for (let block = 0; block < PROMPT_BLOCKS; block += EVENT_BLOCKS)
      events.push(storedEvent(prompt, tokens, block, (sequence += 1)));
    seconds += await processorOf(() => {
      for (const event of events) index.apply(event);
    });
  }
  const { blocks: held, bytes } = index.counts();
  const chain = createChain(
    namespace,
    new Uint8Array(tokensOf(0).buffer).subarray(0, PROMPT_BLOCKS * BLOCK_BYTES),
  );
  const lookupSeconds = await processorOf(() => {
    for (let turn = 0; turn < LOOKUPS; turn += 1) index.longestPrefix(chain);
  });
  return { blocks: held, bytes, events: sequence, seconds, lookupMicros: (lookupSeconds * 1e6) / LOOKUPS };
}

/** Points of decisions and of the index. */
export async function measureRouting() {
  await loadHasher();
  const decisions = [];
  for (const targets of TARGETS) decisions.push({ targets, ...(await decisionMicros(targets)) });
  // Once without counting: the first run also compiles.
  await indexPoint(BLOCKS[1]);
  const index = [];
  for (const blocks of BLOCKS) index.push(await indexPoint(blocks));
  return { chainMicros: await chainMicros(), decisions, index };
}
