/** Measures the time to compute the chain of a prompt. */
import { performance } from 'node:perf_hooks';
import { BYTES_PER_TOKEN, createChain } from '../prefix/index.js';
import { quantile, rounded } from './table.js';
import type { Row } from './table.js';

const TOKENS = [1_000, 4_000, 8_000, 32_000, 128_000];
const ROUNDS = 400;
const WARM_UP = 100;

const namespace = { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' };

/** Returns one row per prompt length. */
export function measureChain(): Row[] {
  return TOKENS.map((tokens) => {
    const prompt = new Uint8Array(tokens * BYTES_PER_TOKEN).map((_, place) => (place * 31) % 251);
    const samples: number[] = [];
    for (let round = 0; round < WARM_UP + ROUNDS; round += 1) {
      const began = performance.now();
      createChain(namespace, prompt);
      if (round >= WARM_UP) samples.push((performance.now() - began) * 1_000);
    }
    return {
      tokens,
      'p50 µs': rounded(quantile(samples, 0.5)),
      'p99 µs': rounded(quantile(samples, 0.99)),
      'ns a block': rounded((quantile(samples, 0.5) * 1_000) / (tokens / 16)),
    };
  });
}
