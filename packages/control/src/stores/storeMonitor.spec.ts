import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { partKey } from '@jasmineroute/protocol';
import type { CacheUpdate } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { ConfigurationState } from '../configuration/index.js';
import { applyOne } from '../fixture/index.js';
import { createState } from '../role/index.js';
import { StoreMonitor } from './storeMonitor.js';

const STORE = '10.0.0.9:80';

const content = (storeAddress: string | undefined): Uint8Array =>
  Buffer.from(JSON.stringify({ number: 1, routes: [], services: [{ name: 'kept', storeAddress }] }));

describe('store monitoring', () => {
  it('reports a store that stops and resumes answering, and drops one that is no longer configured', async () => {
    // Guards against first tokens that are all some hundred ms late: a cache store is down, and requests still name it as
    // a source because it is not monitored.
    const clock = new ManualClock();
    const state = createState();
    let answers = true;
    const update = { incarnation: 1, next: 0, hasGap: false, events: [] };
    const port = {
      news: () => clock.sleep(50).then(() => (answers ? update : Promise.reject(new Error('gone')))),
      list: () => Promise.reject(new Error('not listed')),
    };
    const watch = new StoreMonitor(state.configuration, port, clock, silentLog, silentMetrics);
    const configure = (number: bigint, address: string | undefined): void => {
      const value = { number, content: content(address), source: new Uint8Array(0) };
      applyOne(state.machine, { case: 'configure', value });
    };
    watch.start();
    configure(1n, STORE);
    await clock.advance(200);
    expect(watch.lost()).toEqual([]);
    answers = false;
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([STORE]);
    answers = true;
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([]);
    answers = false;
    await clock.advance(1_000);
    configure(2n, undefined);
    await clock.advance(1_000);
    expect(watch.lost()).toEqual([]);
    watch.stop();
    expect(state.configuration).toBeInstanceOf(ConfigurationState);
  });

  it('goes on with the other stores when the monitor of one fails, and with that one once it can', async () => {
    // Guards against control instances that end at every start, as a committed configuration makes a task throw.
    const clock = new ManualClock();
    const state = createState();
    const update = { incarnation: 1, next: 0, hasGap: false, events: [] };
    let isCallable = false;
    const port = {
      news: (address: string) => {
        if (address === STORE && !isCallable) throw new Error('can not be called');
        return clock.sleep(50).then(() => update);
      },
      list: () => Promise.reject(new Error('not listed')),
    };
    const counted: string[] = [];
    const metrics = { ...silentMetrics, count: ({ name }: { name: string }) => void counted.push(name) };
    const watch = new StoreMonitor(state.configuration, port, clock, silentLog, metrics);
    const services = [STORE, '10.0.0.8:80'].map((storeAddress, at) => ({ name: `s${at}`, storeAddress }));
    const value = {
      number: 1n,
      content: Buffer.from(JSON.stringify({ number: 1, routes: [], services })),
      source: new Uint8Array(0),
    };
    applyOne(state.machine, { case: 'configure', value });
    watch.start();
    await clock.advance(2_500);
    expect(watch.lost()).toEqual([STORE]);
    expect(counted).toEqual(counted.map(() => 'control.store.monitor_failures'));
    expect(counted).toHaveLength(3);
    isCallable = true;
    await clock.advance(2_000);
    expect(watch.lost()).toEqual([]);
    watch.stop();
  });

  it('tracks what a store keeps, and discards it after a gap or a restart', async () => {
    // Guards against shared parts that are computed again and again despite a store: the store restarts or its events are
    // lost, and parts that it no longer keeps still count as present.
    const clock = new ManualClock();
    const state = createState();
    const part = (id: string, isKept: boolean) => ({ salt: 's', model: 'm', part: id, isKept });
    const none = { incarnation: 1, next: 2, hasGap: false, events: [] };
    const calls: number[] = [];
    let next: CacheUpdate = { ...none, events: [part('a', true), part('b', true)] };
    const port = {
      news: async (_address: string, since: number): Promise<CacheUpdate> => {
        calls.push(since);
        await clock.sleep(100);
        const answer = next;
        next = { ...none, incarnation: answer.incarnation };
        return answer;
      },
      list: () => Promise.reject(new Error('not listed')),
    };
    const watch = new StoreMonitor(state.configuration, port, clock, silentLog, silentMetrics);
    const keys = (): number[] => watch.kept.changesSince(0).added;
    const keyOf = (id: string): number => partKey(STORE, part(id, true));
    watch.start();
    const value = { number: 1n, content: content(STORE), source: new Uint8Array(0) };
    applyOne(state.machine, { case: 'configure', value });
    await clock.advance(150);
    expect(keys()).toEqual([keyOf('a'), keyOf('b')]);
    next = { ...none, events: [part('a', false)] };
    await clock.advance(200);
    expect(keys()).toEqual([keyOf('b')]);
    next = { ...none, hasGap: true, events: [part('c', true)] };
    await clock.advance(200);
    expect(keys()).toEqual([keyOf('c')]);
    next = { ...none, incarnation: 2, events: [part('d', true)] };
    await clock.advance(200);
    expect(keys()).toEqual([]);
    expect(calls.slice(1)).toContain(0);
    watch.stop();
  });

  it('lists the whole content once when events are lost', async () => {
    // Guards against shared parts that are computed again after a restart of control although the store has them: the
    // store sends only its newest events, and parts of earlier events are treated as missing.
    const clock = new ManualClock();
    const state = createState();
    const part = (id: string) => ({ salt: 's', model: 'm', part: id, isKept: true });
    let lists = 0;
    const port = {
      news: async (_address: string, since: number): Promise<CacheUpdate> => {
        await clock.sleep(100);
        return { incarnation: 1, next: Math.max(since, 9_000), hasGap: true, events: [part('new')] };
      },
      list: (): Promise<CacheUpdate> => {
        lists += 1;
        return Promise.resolve({
          incarnation: 1,
          next: 9_001,
          hasGap: true,
          events: [part('old'), part('new')],
        });
      },
    };
    const watch = new StoreMonitor(state.configuration, port, clock, silentLog, silentMetrics);
    const value = { number: 1n, content: content(STORE), source: new Uint8Array(0) };
    watch.start();
    applyOne(state.machine, { case: 'configure', value });
    await clock.advance(150);
    const keys = ['old', 'new'].map((id) => partKey(STORE, part(id)));
    expect(new Set(watch.kept.changesSince(0).added)).toEqual(new Set(keys));
    await clock.advance(5_000);
    expect(lists).toBe(1);
    watch.stop();
  });

  // Guards against a control instance that parses each configuration of a replayed log and blocks its event loop meanwhile.
  it('parses only the first and the last of the configurations applied in one turn of the event loop', async () => {
    const clock = new ManualClock();
    const state = createState();
    const calls: string[] = [];
    const port = {
      news: (address: string) => {
        calls.push(address);
        return clock.sleep(50).then(() => ({ incarnation: 1, next: 0, hasGap: false, events: [] }));
      },
      list: () => Promise.reject(new Error('not listed')),
    };
    const watch = new StoreMonitor(state.configuration, port, clock, silentLog, silentMetrics);
    watch.start();
    for (const last of [1, 2, 3, 4, 5]) {
      const value = {
        number: BigInt(last),
        content: content(`10.0.0.${last}:80`),
        source: new Uint8Array(0),
      };
      applyOne(state.machine, { case: 'configure', value });
    }
    await clock.advance(10);
    expect(calls).toEqual(['10.0.0.1:80', '10.0.0.5:80']);
    watch.stop();
  });
});
