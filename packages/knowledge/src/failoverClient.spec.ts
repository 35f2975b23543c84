import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import type { Peers } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { FailoverClient } from './failoverClient.js';

describe('a call to one of several control instances', () => {
  const clock = new ManualClock();
  const events: number[] = [];
  const log = {
    event: ({ id }: { id: number }) => {
      events.push(id);
    },
  } as unknown as Log;
  const client = new FailoverClient({
    controls: () => ['a', 'b', 'c'],
    peers: { transport: () => ({}) } as unknown as Peers,
    clock,
    log,
  });
  const down = new Set<string>();
  const tried: string[] = [];
  const call = (preferred?: string): Promise<string | undefined> => {
    tried.length = 0;
    return client.call((_client, _options, address) => {
      tried.push(address);
      return down.has(address) ? Promise.reject(new Error('down')) : Promise.resolve();
    }, preferred);
  };

  it('goes to the preferred one, skips one that did not answer, and logs its loss and return once', async () => {
    // Guards against some hundred log lines a second, and reports that are each late by a time-out, while a control instance
    // is down for seconds and every call tries it first.
    expect(await call('b')).toBe('b');
    expect(tried).toEqual(['b']);
    down.add('a');
    expect(await call()).toBe('b');
    expect(await call()).toBe('b');
    expect(tried).toEqual(['b']);
    expect(events).toEqual([8112]);
    await clock.advance(2_000);
    expect(await call()).toBe('b');
    expect(tried).toEqual(['a', 'b']);
    expect(events).toEqual([8112]);
    down.clear();
    await clock.advance(2_000);
    expect(await call()).toBe('a');
    expect(events).toEqual([8112, 8113]);
    for (const one of ['a', 'b', 'c']) down.add(one);
    expect(await call()).toBeUndefined();
  });

  // Guards against reports that are dropped for 2 s after a start, as control instances refused the first connections.
  it.each([
    ['a moment when it refused the connection', 0, 100],
    ['longer when the call timed out', 400, 2_000],
  ])('skips an instance for %s', async (_title, tookMs, skipMs) => {
    const own = new ManualClock();
    const peers = { transport: () => ({}) } as unknown as Peers;
    const silent = { event: () => undefined } as unknown as Log;
    const failing = new FailoverClient({ controls: () => ['a'], peers, clock: own, log: silent });
    let calls = 0;
    const fail = async (): Promise<unknown> => {
      calls += 1;
      await own.advance(tookMs);
      throw new Error('down');
    };
    await failing.call(fail);
    await own.advance(skipMs - 1);
    await failing.call(fail);
    expect(calls).toBe(1);
    await own.advance(1);
    await failing.call(fail);
    expect(calls).toBe(2);
  });
});
