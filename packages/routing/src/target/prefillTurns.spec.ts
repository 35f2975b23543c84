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

const flush = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Waits for a turn; `done` is set when the wait has ended. */
function waitForTurn(
  turns: PrefillTurns,
  id: string,
  signal = new AbortController().signal,
): { done: boolean } {
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
): PrefillTurns => new PrefillTurns({ cachedBlocks, maxConcurrent: atOnce, clock });

describe('PrefillTurns', () => {
  it('computes a new prefix once for simultaneous requests', async () => {
    // Ten requests with the same new prefix arrive together. If the engine started all ten before the prefix was cached,
    // each would compute it.
    let cached = 0;
    const turns = turnsOf(() => cached, 100);
    for (let id = 0; id < 10; id += 1)
      turns.enter(`r${id}`, { chain: chainOf(64, String(id)), priority: 50, expectedMs: 100 });
    const states = Array.from({ length: 10 }, (_, id) => waitForTurn(turns, `r${id}`));
    await flush();
    expect(states.map(({ done }) => done)).toEqual([true, ...Array.from({ length: 9 }, () => false)]);
    cached = 64;
    turns.leave('r0');
    await flush();
    expect(states.every(({ done }) => done)).toBe(true);
  });

  it('starts the next request when the first one ends without a first token', async () => {
    const turns = turnsOf(() => 0);
    for (const id of ['r0', 'r1', 'r2'])
      turns.enter(id, { chain: chainOf(64, id.slice(1)), priority: 50, expectedMs: 100 });
    const states = ['r0', 'r1', 'r2'].map((id) => waitForTurn(turns, id));
    turns.leave('r0');
    await flush();
    expect(states.map(({ done }) => done)).toEqual([true, true, false]);
  });

  it('limits requests at the engine, and starts them by priority, then by arrival', async () => {
    // Requests that wait inside the engine hold blocks. When twelve requests with cached prefixes were started at once,
    // they evicted cached prefixes, and the hit rate fell as the queue grew.
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
    await flush();
    expect(order).toEqual(['r0', 'r1']);
    for (const id of ['r0', 'r1', 'r4', 'r2']) {
      turns.leave(id);
      await flush();
    }
    expect(order).toEqual(['r0', 'r1', 'r4', 'r2', 'r3']);
  });

  it('does not delay requests with another prefix or a cached one', async () => {
    const turns = turnsOf((chain) => (chain.length > 100 ? 120 : 0), 100);
    const wanted = { first: chainOf(64, 'f'), other: chainOf(0, 'x'), cached: chainOf(120, 'c') };
    for (const [id, chain] of Object.entries(wanted))
      turns.enter(id, { chain, priority: 50, expectedMs: 100 });
    const states = Object.keys(wanted).map((id) => waitForTurn(turns, id));
    await flush();
    expect(states.every(({ done }) => done)).toBe(true);
    expect(turns.pendingBlocks(chainOf(64, 'z'))).toBe(64);
  });

  it('ends a turn by timeout when no first token arrives', async () => {
    // The first byte of a response that is not streamed arrives with its last byte. If a turn lasted until the first
    // byte, only two such requests could run at a time.
    const clock = new ManualClock();
    const turns = turnsOf(() => 0, 1, clock);
    for (const id of ['r0', 'r1']) turns.enter(id, { chain: chainOf(0, id), priority: 50, expectedMs: 100 });
    const states = ['r0', 'r1'].map((id) => waitForTurn(turns, id));
    await clock.advance(349);
    expect(states.map(({ done }) => done)).toEqual([true, false]);
    await clock.advance(1);
    expect(states.map(({ done }) => done)).toEqual([true, true]);
  });

  it('stops waiting when aborted, and passes the turn on to the next request', async () => {
    const turns = turnsOf(() => 0, 1);
    for (const id of ['r0', 'r1', 'r2'])
      turns.enter(id, { chain: chainOf(64, id.slice(1)), priority: 50, expectedMs: 100 });
    const stop = new AbortController();
    waitForTurn(turns, 'r0');
    const aborted = waitForTurn(turns, 'r1', stop.signal);
    const last = waitForTurn(turns, 'r2');
    stop.abort();
    await flush();
    expect([aborted.done, last.done]).toEqual([true, false]);
    turns.leave('r1');
    turns.leave('r0');
    await flush();
    expect(last.done).toBe(true);
  });
});
