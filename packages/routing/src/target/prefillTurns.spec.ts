import { describe, expect, it } from 'vitest';
import { BLOCK_BYTES, createChain } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import { PrefillTurns } from './prefillTurns.js';

const chainOf = (blocks: number, tail: string): Chain =>
  createChain(
    { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' },
    new TextEncoder().encode('a'.repeat(blocks * BLOCK_BYTES) + tail.repeat(BLOCK_BYTES)),
  );

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

function watched(turns: PrefillTurns, id: string, signal = new AbortController().signal): { done: boolean } {
  const state = { done: false };
  void turns.wait(id, signal).then(() => {
    state.done = true;
  });
  return state;
}

describe('PrefillTurns', () => {
  it('lets one of a herd compute a new prefix, and the rest follow', async () => {
    // Symptom: recomputed tokens grow by the number of requests. Sequence: ten requests with one new prefix
    // arrive together. Cause: the engine starts all ten before the prefix of any is in its cache.
    let cached = 0;
    const turns = new PrefillTurns(() => cached);
    for (let id = 0; id < 10; id += 1)
      turns.enter(`r${id}`, { chain: chainOf(64, String(id)), priority: 50 });
    const states = Array.from({ length: 10 }, (_, id) => watched(turns, `r${id}`));
    await settle();
    expect(states.map(({ done }) => done)).toEqual([true, ...Array.from({ length: 9 }, () => false)]);
    cached = 64;
    turns.leave('r0');
    await settle();
    expect(states.every(({ done }) => done)).toBe(true);
  });

  it('goes on with the next when the first is lost', async () => {
    const turns = new PrefillTurns(() => 0);
    for (const id of ['r0', 'r1', 'r2']) turns.enter(id, { chain: chainOf(64, id.slice(1)), priority: 50 });
    const states = ['r1', 'r2'].map((id) => watched(turns, id));
    turns.leave('r0');
    await settle();
    expect(states.map(({ done }) => done)).toEqual([true, false]);
  });

  it('holds up nobody for another prefix, for a lower priority, or for what is cached', async () => {
    const turns = new PrefillTurns((chain) => (chain.length > 100 ? 120 : 0));
    turns.enter('batch', { chain: chainOf(64, 'b'), priority: 20 });
    turns.enter('urgent', { chain: chainOf(64, 'u'), priority: 80 });
    turns.enter('other', { chain: chainOf(0, 'x'), priority: 80 });
    turns.enter('cached', { chain: chainOf(120, 'c'), priority: 50 });
    const states = ['urgent', 'other', 'cached'].map((id) => watched(turns, id));
    await settle();
    expect(states.every(({ done }) => done)).toBe(true);
    expect(turns.pendingBlocks(chainOf(64, 'z'))).toBe(64);
  });

  it('stops waiting when aborted', async () => {
    const turns = new PrefillTurns(() => 0);
    turns.enter('r0', { chain: chainOf(64, '0'), priority: 50 });
    turns.enter('r1', { chain: chainOf(64, '1'), priority: 50 });
    const stop = new AbortController();
    const state = watched(turns, 'r1', stop.signal);
    stop.abort();
    await settle();
    expect(state.done).toBe(true);
  });
});
