import { ManualClock, silentLog, systemClock } from '@jasmineroute/core';
import { ReportSender } from '@jasmineroute/knowledge';
import { CachedParts, Peers, controlMessage, listen, partKey } from '@jasmineroute/protocol';
import type { CacheUpdate, RpcServer } from '@jasmineroute/protocol';
import { reportTaker, waitFor } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetPort } from '../port/index.js';
import { CacheReporter } from './cacheReporter.js';

const ADDRESS = '10.0.0.1:80';
const part = (id: string) => ({ salt: 's', model: 'm', part: id });
const keyOf = (id: string): number => partKey(ADDRESS, part(id));

describe('the report of a target cache', () => {
  let servers: RpcServer[];
  let keptParts: CachedParts[];
  let peers: Peers;
  let sender: ReportSender;
  let news: CacheUpdate | undefined;
  let problem: string | undefined;
  const clock = new ManualClock();
  let logged: number[];

  beforeEach(async () => {
    keptParts = [new CachedParts(), new CachedParts()];
    servers = await Promise.all(
      keptParts.map((board) =>
        listen('127.0.0.1', 0, (router) => {
          router.service(controlMessage.Configurations, {
            report: reportTaker((report) => {
              if (report.case !== 'cache') return;
              const { address, changes } = report.value;
              if (changes !== undefined) board.applyChanges(address, changes);
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

  const newsOf = (events: Record<string, boolean>, change: Partial<CacheUpdate> = {}): CacheUpdate => ({
    incarnation: 1,
    next: 1,
    hasGap: false,
    events: Object.entries(events).map(([id, isKept]) => ({ ...part(id), isKept })),
    ...change,
  });

  const keysAt = (board: number): number[] => [...(keptParts[board]?.changesSince(0).added ?? [])].sort();

  /** Waits until a control instance has exactly these parts. */
  const untilParts = (board: number, ...ids: string[]): Promise<unknown> =>
    waitFor(`${ids.join()} at ${board}`, () => {
      return JSON.stringify(keysAt(board)) === JSON.stringify(ids.map(keyOf).sort());
    });

  it('goes to one control instance, and in full to the next one when that is lost', async () => {
    // Guards against requests that go where a part is no longer cached, or are processed again where it is: after the loss of
    // a control instance, another one gets only the changes.
    const one = reporter();
    news = newsOf({ a: true, b: true });
    expect(await one.poll()).toBe(true);
    await untilParts(0, 'a', 'b');
    expect(keysAt(1)).toEqual([]);
    await servers[0]?.close();
    news = newsOf({ a: false, c: true });
    await one.poll();
    // The first poll may still send to the lost instance; the next one notices its loss.
    news = newsOf({});
    await waitFor('another stream', async () => {
      await one.poll();
      return keysAt(1).length > 0;
    });
    await untilParts(1, 'b', 'c');
  });

  it('is sent in full again to an instance that lost its state', async () => {
    // Guards against parts that are processed again though a target has them: a control instance restarts between two
    // reports, no report fails, and it gets only the changes since.
    const one = reporter();
    news = newsOf({ a: true });
    await one.poll();
    await untilParts(0, 'a');
    keptParts[0]?.removeAll(ADDRESS);
    news = newsOf({ b: true });
    await one.poll();
    await untilParts(0, 'b');
    await clock.advance(5_001);
    news = newsOf({});
    await one.poll();
    await untilParts(0, 'a', 'b');
  });

  it('is logged once when it stops, with the reason, and when it resumes', async () => {
    // Guards against prompts that are fetched or processed again without a reason in any log: a target's cache events can't
    // be read, and the error is dropped.
    const one = reporter();
    news = newsOf({ a: true });
    await one.poll();
    problem = 'it can not be read';
    for (let n = 0; n < 3; n += 1) expect(await one.poll()).toBe(false);
    problem = undefined;
    await one.poll();
    expect(logged).toEqual([8207, 8208]);
  });

  it('starts empty after a restart or a gap', async () => {
    const one = reporter();
    news = newsOf({ a: true });
    await one.poll();
    news = newsOf({ b: true }, { hasGap: true });
    await one.poll();
    await untilParts(0, 'b');
    news = newsOf({ c: true }, { incarnation: 2 });
    await one.poll();
    await untilParts(0);
    news = undefined;
    expect(await one.poll()).toBe(false);
  });
});
