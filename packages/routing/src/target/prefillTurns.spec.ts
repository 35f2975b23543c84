import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import { BLOCK_BYTES, createChain } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import { PrefillTurns } from './prefillTurns.js';

const chainOf = (blocks: number, tail: string): Chain =>
  createChain(
    { customer: 'members', model: 'caption', adapter: '', weightsVersion: '1' },
    new TextEncoder().encode('a'.repeat(blocks * BLOCK_BYTES) + tail.repeat(BLOCK_BYTES)),
  );

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Waits for a turn. */
function watched(turns: PrefillTurns, id: string, signal = new AbortController().signal): { done: boolean } {
  const state = { done: false };
  void turns.wait(id, signal).then(() => {
    state.done = true;
  });
  return state;
}

const turnsOf = (
  cachedBlocks: (chain: Chain) => number,
  atOnce = 2,
  clock = new ManualClock(),
): PrefillTurns => new PrefillTurns({ cachedBlocks, atOnce, clock });

describe('PrefillTurns', () => {
  it('lets one of a herd compute a new prefix, and the rest follow', async () => {
    // Symptom: recomputed tokens grow by the number of requests. Sequence: ten requests with one new prefix
    // arrive together. Cause: the engine starts all ten before the prefix of any is in its cache.
    let cached = 0;
    const turns = turnsOf(() => cached, 100);
    for (let id = 0; id < 10; id += 1)
      turns.enter(`r${id}`, { chain: chainOf(64, String(id)), priority: 50, expectedMs: 100 });
    const states = Array.from({ length: 10 }, (_, id) => watched(turns, `r${id}`));
    await settle();
    expect(states.map(({ done }) => done)).toEqual([true, ...Array.from({ length: 9 }, () => false)]);
    cached = 64;
    turns.leave('r0');
    await settle();
    expect(states.every(({ done }) => done)).toBe(true);
  });

  it('goes on with the next when the first is lost', async () => {
    const turns = turnsOf(() => 0);
    for (const id of ['r0', 'r1', 'r2'])
      turns.enter(id, { chain: chainOf(64, id.slice(1)), priority: 50, expectedMs: 100 });
    const states = ['r0', 'r1', 'r2'].map((id) => watched(turns, id));
    turns.leave('r0');
    await settle();
    expect(states.map(({ done }) => done)).toEqual([true, true, false]);
  });

  it('sends only a few to the engine, the highest priority and then the first to come', async () => {
    // Symptom: hit rate falls as the queue grows. Sequence: twelve requests with cached prefixes are started at
    // once. Cause: those that wait inside the engine hold blocks, and push out what others have cached.
    const turns = turnsOf(() => 64);
    const order: string[] = [];
    for (const [id, priority] of [
      ['r0', 50],
      ['r1', 50],
      ['r2', 50],
      ['r3', 20],
      ['r4', 80],
    ] as const) {
      turns.enter(id, { chain: chainOf(64, id.slice(1)), priority, expectedMs: 100 });
      void turns.wait(id, new AbortController().signal).then(() => order.push(id));
    }
    await settle();
    expect(order).toEqual(['r0', 'r1']);
    for (const id of ['r0', 'r1', 'r4', 'r2']) {
      turns.leave(id);
      await settle();
    }
    expect(order).toEqual(['r0', 'r1', 'r4', 'r2', 'r3']);
  });

  it('holds up nobody for another prefix, nor for what is cached', async () => {
    const turns = turnsOf((chain) => (chain.length > 100 ? 120 : 0), 100);
    const wanted = { first: chainOf(64, 'f'), other: chainOf(0, 'x'), cached: chainOf(120, 'c') };
    for (const [id, chain] of Object.entries(wanted))
      turns.enter(id, { chain, priority: 50, expectedMs: 100 });
    const states = Object.keys(wanted).map((id) => watched(turns, id));
    await settle();
    expect(states.every(({ done }) => done)).toBe(true);
    expect(turns.pendingBlocks(chainOf(64, 'z'))).toBe(64);
  });

  it('ends a turn in time when no first token shows', async () => {
    // Symptom: requests that do not stream run two at a time. Sequence: their first byte comes with their last.
    // Cause: a turn lasts until the first byte.
    const clock = new ManualClock();
    const turns = turnsOf(() => 0, 1, clock);
    for (const id of ['r0', 'r1']) turns.enter(id, { chain: chainOf(0, id), priority: 50, expectedMs: 100 });
    const states = ['r0', 'r1'].map((id) => watched(turns, id));
    await clock.advance(349);
    expect(states.map(({ done }) => done)).toEqual([true, false]);
    await clock.advance(1);
    expect(states.map(({ done }) => done)).toEqual([true, true]);
  });

  it('stops waiting when aborted, and gives the turn to the next', async () => {
    const turns = turnsOf(() => 0, 1);
    for (const id of ['r0', 'r1', 'r2'])
      turns.enter(id, { chain: chainOf(64, id.slice(1)), priority: 50, expectedMs: 100 });
    const stop = new AbortController();
    watched(turns, 'r0');
    const aborted = watched(turns, 'r1', stop.signal);
    const last = watched(turns, 'r2');
    stop.abort();
    await settle();
    expect([aborted.done, last.done]).toEqual([true, false]);
    turns.leave('r1');
    turns.leave('r0');
    await settle();
    expect(last.done).toBe(true);
  });
});
