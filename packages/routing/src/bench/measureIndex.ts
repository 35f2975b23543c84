/** Measures speed and memory of the block index. */
import { performance } from 'node:perf_hooks';
import { BlockIndex } from '../blockIndex/index.js';
import type { CacheChange } from '../blockIndex/index.js';
import { BLOCK_BYTES, BLOCK_TOKENS, createChain } from '../prefix/index.js';
import { quantile, rounded } from './table.js';
import type { Row } from './table.js';

const SIZES = [1_600, 16_000, 163_000, 800_000];
/** Blocks per stored event, and per prompt. */
const EVENT_BLOCKS = 4;
const PROMPT_BLOCKS = 500;
const LOOKUPS = 400;

const namespace = { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' };

function tokensOf(prompt: number): Uint32Array {
  return new Uint32Array(PROMPT_BLOCKS * BLOCK_TOKENS).map((_, place) => (prompt * 7_919 + place) >>> 0);
}

const nameOf = (prompt: number, block: number): string => `${prompt.toString(16)}-${block.toString(16)}`;

function storedOf(prompt: number, tokens: Uint32Array, block: number, sequence: number): CacheChange {
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

/** Milliseconds to apply the events, without the time to create them. */
function apply(index: BlockIndex, changes: readonly CacheChange[]): number {
  const began = performance.now();
  for (const change of changes) index.apply(change);
  return performance.now() - began;
}

function lookupMicros(index: BlockIndex, prompts: number): number {
  const samples: number[] = [];
  for (let turn = 0; turn < LOOKUPS; turn += 1) {
    const bytes = new Uint8Array(tokensOf(turn % prompts).buffer);
    const chain = createChain(namespace, bytes.subarray(0, PROMPT_BLOCKS * BLOCK_BYTES));
    const began = performance.now();
    index.longestPrefix(chain);
    samples.push((performance.now() - began) * 1_000);
  }
  return quantile(samples, 0.5);
}

function measureSize(blocks: number): Row {
  const index = new BlockIndex({ capacity: blocks });
  index.begin('one');
  const prompts = Math.max(1, Math.floor(blocks / PROMPT_BLOCKS));
  let sequence = 0;
  let storeMs = 0;
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    const tokens = tokensOf(prompt);
    const changes: CacheChange[] = [];
    for (let block = 0; block < PROMPT_BLOCKS; block += EVENT_BLOCKS) {
      changes.push(storedOf(prompt, tokens, block, (sequence += 1)));
    }
    storeMs += apply(index, changes);
  }
  const { blocks: held, bytes } = index.counts();
  const lookup = lookupMicros(index, prompts);
  const storedEvents = sequence;
  const removals: CacheChange[] = [];
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    for (let block = PROMPT_BLOCKS - 1; block >= 0; block -= 1) {
      const hashes = [nameOf(prompt, block)];
      removals.push({ type: 'removed', incarnation: 'one', sequence: (sequence += 1), hashes });
    }
  }
  const removeMs = apply(index, removals);
  return {
    blocks: held,
    'bytes a block': rounded(bytes / held),
    MB: rounded(bytes / 1_048_576, 2),
    'stored events/s': Math.round((storedEvents * 1_000) / storeMs),
    'stored blocks/s': Math.round((held * 1_000) / storeMs),
    'removed events/s': Math.round((removals.length * 1_000) / removeMs),
    'lookup of 500 blocks, p50 µs': rounded(lookup),
  };
}

/** Returns one row per size. For sizes below 100,000 a first run warms up the code and is discarded. */
export function measureIndex(): Row[] {
  return SIZES.map((size) => {
    if (size < 100_000) measureSize(size);
    return measureSize(size);
  });
}
