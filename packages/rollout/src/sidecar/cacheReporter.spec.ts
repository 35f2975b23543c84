import { ManualClock, silentLog, systemClock } from '@jasmineroute/core';
import { ReportSender } from '@jasmineroute/knowledge';
import { KeptParts, Peers, controlMessage, listen, partKey } from '@jasmineroute/protocol';
import type { CacheNews, RpcServer } from '@jasmineroute/protocol';
import { reportTaker, waitFor } from '@jasmineroute/testkit';
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
  let sender: ReportSender;
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
            report: reportTaker((report) => {
              if (report.case !== 'cache') return;
              const { address, changes } = report.value;
              if (changes !== undefined) board.apply(address, changes);
            }),
          });
        }),
      ),
    );
    peers = new Peers();
    const controls = (): string[] => servers.map(({ address }) => address);
    sender = new ReportSender({ controls, peers, clock: systemClock, log: silentLog });
    logged = [];
  });

  afterEach(async () => {
    sender.close();
    peers.close();
    await Promise.all(servers.map((server) => server.close()));
  });

  const reporter = (): CacheReporter =>
    new CacheReporter({
      address: ADDRESS,
      port: {
        cacheNews: () => (problem === undefined ? Promise.resolve(news) : Promise.reject(new Error(problem))),
      } as unknown as TargetPort,
      sender,
      entries: () => 1,
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

  /** Waits until a control instance has just these parts. */
  const settles = (board: number, ...ids: string[]): Promise<unknown> =>
    waitFor(`${ids.join()} at ${board}`, () => {
      return JSON.stringify(keysAt(board)) === JSON.stringify(ids.map(keyOf).sort());
    });

  it('reaches one control instance, and whole the next one when that is lost', async () => {
    // Symptom: requests go where a part no longer is, or are read again where it is.
    // Sequence: a control instance that heard of a target's cache goes down; changes go to another one.
    // Cause: changes alone, to one that had not heard the rest.
    const one = reporter();
    news = told({ a: true, b: true });
    expect(await one.look()).toBe(true);
    await settles(0, 'a', 'b');
    expect(keysAt(1)).toEqual([]);
    await servers[0]?.close();
    news = told({ a: false, c: true });
    await one.look();
    // The first look may still take the lost instance for one that hears; the next one finds that it is not.
    news = told({});
    await waitFor('another stream', async () => {
      await one.look();
      return keysAt(1).length > 0;
    });
    await settles(1, 'b', 'c');
  });

  it('is told whole again to an instance that lost what it knew', async () => {
    // Symptom: parts that a target has are read again, for as long as they stay in its cache.
    // Sequence: a control instance restarts between two calls; it is told what changed since the last one only.
    // Cause: no call failed, so nothing showed that it had lost the rest.
    const one = reporter();
    news = told({ a: true });
    await one.look();
    await settles(0, 'a');
    boards[0]?.forget(ADDRESS);
    news = told({ b: true });
    await one.look();
    await settles(0, 'b');
    await clock.advance(5_001);
    news = told({});
    await one.look();
    await settles(0, 'a', 'b');
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
    await settles(0, 'b');
    news = told({ c: true }, { incarnation: 2 });
    await one.look();
    await settles(0);
    news = undefined;
    expect(await one.look()).toBe(false);
  });
});
