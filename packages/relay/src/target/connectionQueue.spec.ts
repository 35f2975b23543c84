import { fault } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { ConnectionQueue } from './connectionQueue.js';
import type { Release } from './connectionQueue.js';

const neverAborted = new AbortController().signal;

describe('the connections to a target', () => {
  /** Acquires for a request, and records the order in which requests are granted a connection. */
  function requester(queue: ConnectionQueue) {
    const granted: string[] = [];
    const releases: Release[] = [];
    const acquire = async (name: string, arrivedAt: number, signal = neverAborted): Promise<string> => {
      const result = await queue.acquire(arrivedAt, signal);
      if (result.isErr()) return result.error.kind;
      granted.push(name);
      releases.push(result.value);
      return 'granted';
    };
    return { granted, releases, acquire };
  }

  const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

  // Guards against a request that was taken back from another target and starts over at the back of the line.
  it('go to the request that arrived first', async () => {
    const { granted, releases, acquire } = requester(new ConnectionQueue(1));
    await acquire('running', 0);
    void acquire('b', 20);
    void acquire('c', 30);
    void acquire('a', 10);
    for (const turn of [0, 1, 2]) {
      releases[turn]?.();
      await nextTurn();
    }
    expect(granted).toEqual(['running', 'a', 'b', 'c']);
  });

  it('are lent once, also when they are given back twice', async () => {
    const { granted, releases, acquire } = requester(new ConnectionQueue(1));
    await acquire('running', 0);
    void acquire('a', 1);
    void acquire('b', 2);
    releases[0]?.();
    releases[0]?.();
    await nextTurn();
    expect(granted).toEqual(['running', 'a']);
  });

  it('are not waited for by requests that are given back or cancelled', async () => {
    const queue = new ConnectionQueue(1);
    const { granted, releases, acquire } = requester(queue);
    const caller = new AbortController();
    await acquire('running', 0);
    const left = acquire('left', 1, caller.signal);
    caller.abort();
    expect(await left).toBe('cancelled');
    const waiting = [acquire('a', 2), acquire('b', 3)];
    queue.giveBack(fault('target-leaving', 'drains'));
    expect(await Promise.all(waiting)).toEqual(['target-leaving', 'target-leaving']);
    releases[0]?.();
    expect(await acquire('later', 4)).toBe('granted');
    expect(granted).toEqual(['running', 'later']);
  });
});
