import { ManualClock, silentLog } from '@jasmineroute/core';
import { KeptParts, Peers, controlMessage, listen, partKey } from '@jasmineroute/protocol';
import type { CacheNews, RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetPort } from '../port/index.js';
import { CacheReporter } from './cacheReporter.js';

const ADDRESS = '10.0.0.1:80';
const part = (id: string) => ({ salt: 's', model: 'm', part: id });
const keyOf = (id: string): number => partKey(ADDRESS, part(id));

describe('what a target has in its cache', () => {
  let servers: RpcServer[];
  let boards: KeptParts[];
  let peers: Peers;
  let news: CacheNews | undefined;
  let problem: string | undefined;
  const clock = new ManualClock();
  let logged: number[];

  beforeEach(async () => {
    boards = [new KeptParts(), new KeptParts()];
    servers = await Promise.all(
      boards.map((board) =>
        listen('127.0.0.1', 0, (router) => {
          router.service(controlMessage.Configurations, {
            reportCache: ({ address, changes }) => {
              if (changes !== undefined) board.apply(address, changes);
              return {};
            },
          });
        }),
      ),
    );
    peers = new Peers();
    logged = [];
  });

  afterEach(async () => {
    peers.close();
    await Promise.all(servers.map((server) => server.close()));
  });

  const reporter = (): CacheReporter =>
    new CacheReporter({
      address: ADDRESS,
      port: {
        cacheNews: () => (problem === undefined ? Promise.resolve(news) : Promise.reject(new Error(problem))),
      } as unknown as TargetPort,
      controls: () => servers.map(({ address }) => address),
      peers,
      clock,
      log: { ...silentLog, event: ({ id }) => void logged.push(id) },
    });

  const told = (events: Record<string, boolean>, change: Partial<CacheNews> = {}): CacheNews => ({
    incarnation: 1,
    next: 1,
    hasGap: false,
    events: Object.entries(events).map(([id, isKept]) => ({ ...part(id), isKept })),
    ...change,
  });

  const keysAt = (board: number): number[] => [...(boards[board]?.since(0).added ?? [])].sort();

  it('reaches one control instance, and whole the next one when that is lost', async () => {
    // Symptom: requests go where a part no longer is, or are read again where it is.
    // Sequence: a control instance that heard of a target's cache goes down; changes go to another one.
    // Cause: changes alone, to one that had not heard the rest.
    const one = reporter();
    news = told({ a: true, b: true });
    expect(await one.look()).toBe(true);
    expect(keysAt(0)).toEqual([keyOf('a'), keyOf('b')].sort());
    expect(keysAt(1)).toEqual([]);
    await servers[0]?.close();
    news = told({ a: false, c: true });
    await one.look();
    expect(keysAt(1)).toEqual([keyOf('b'), keyOf('c')].sort());
  });

  it('is told whole again to an instance that lost what it knew', async () => {
    // Symptom: parts that a target has are read again, for as long as they stay in its cache.
    // Sequence: a control instance restarts between two calls; it is told what changed since the last one only.
    // Cause: no call failed, so nothing showed that it had lost the rest.
    const one = reporter();
    news = told({ a: true });
    await one.look();
    boards[0]?.forget(ADDRESS);
    news = told({ b: true });
    await one.look();
    expect(keysAt(0)).toEqual([keyOf('b')]);
    await clock.advance(5_001);
    news = told({});
    await one.look();
    expect(keysAt(0)).toEqual([keyOf('a'), keyOf('b')].sort());
  });

  it('is logged once when it is no longer told, with the reason, and when it is told again', async () => {
    // Symptom: prompts are fetched or read again for no reason that any log shows.
    // Sequence: a target's events can't be read; the process beside it asks again and again.
    // Cause: the error was dropped.
    const one = reporter();
    news = told({ a: true });
    await one.look();
    problem = 'it can not be read';
    for (let n = 0; n < 3; n += 1) expect(await one.look()).toBe(false);
    problem = undefined;
    await one.look();
    expect(logged).toEqual([8207, 8208]);
  });

  it('is nothing after a restart or a gap', async () => {
    const one = reporter();
    news = told({ a: true });
    await one.look();
    news = told({ b: true }, { hasGap: true });
    await one.look();
    expect(keysAt(0)).toEqual([keyOf('b')]);
    news = told({ c: true }, { incarnation: 2 });
    await one.look();
    expect(keysAt(0)).toEqual([]);
    news = undefined;
    expect(await one.look()).toBe(false);
  });
});
