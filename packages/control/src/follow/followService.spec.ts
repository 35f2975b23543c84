import { create } from '@bufbuild/protobuf';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { blockLoop } from '@jasmineroute/testkit';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { LocalLog, applyOne } from '../fixture/index.js';
import { OriginStore } from '../origins/index.js';
import { EvidenceStore } from '../quarantine/index.js';
import { RecentReports } from '../recent/index.js';
import { createState } from '../role/createState.js';
import type { ControlState } from '../state/index.js';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';
import { FollowService } from './followService.js';
import { OtherControls } from './otherControls.js';

const FOLLOWERS = 24;
const HEARTBEAT_MS = 1_000;

/** Time that an event takes, milliseconds, and how many fit in the time of an iteration. */
const EVENT_MS = 6;
const EVENTS_PER_ITERATION = 2;

let stopped: AbortController;
let service: FollowService;
let machine: ControlState;
let commandLog: LocalLog;

beforeEach(() => {
  stopped = new AbortController();
  const state = createState();
  const { configuration } = state;
  ({ machine } = state);
  commandLog = new LocalLog(machine);
  const boards = {
    loads: new RecentReports<controlMessage.TargetLoad>(systemClock),
    work: new RecentReports<controlMessage.EntryWork>(systemClock),
  };
  const relayed = new RelayedTargets(systemClock);
  const vouched = (): boolean => true;
  const evidence = new EvidenceStore(silentLog, silentMetrics);
  service = new FollowService({
    ...boards,
    configuration,
    targets: new TargetRegistry(systemClock, silentLog, HEARTBEAT_MS),
    relayed,
    others: new OtherControls({ ...boards, relayed, evidence, vouched, clock: systemClock }),
    lostStores: () => [],
    kept: undefined,
    origins: new OriginStore(systemClock, silentMetrics),
    evidence,
    commandLog,
    clock: systemClock,
    log: silentLog,
    ended: stopped.signal,
  });
});

afterEach(() => {
  stopped.abort();
});

const nextIteration = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

type Events = AsyncGenerator<controlMessage.FollowEvent>;

/** Waits for the next event of a stream other than the one that says it is queued. */
async function nextEvent(stream: Events): Promise<void> {
  for await (const { queued } of { [Symbol.asyncIterator]: () => ({ next: () => stream.next() }) })
    if (!queued) return;
}

/** Reads one event of each stream. @returns how many came in each iteration of the event loop. */
async function eventsByIteration(streams: readonly Events[]): Promise<number[]> {
  const byIteration: number[] = [];
  let events = 0;
  for (const stream of streams) {
    void nextEvent(stream).then(() => {
      events += 1;
      blockLoop(EVENT_MS);
    });
  }
  for (let before = 0; before < streams.length; before = events) {
    await nextIteration();
    byIteration.push(events - before);
  }
  return byIteration;
}

// Guards against a leader that sends to all entries in one iteration of the event loop, answers no heartbeat and loses its
// quorum.
it('serves followers for a limited time in an iteration of the event loop, new ones and with updates', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const names = Array.from({ length: FOLLOWERS }, (_, at) => `entry-${at}`);
  const streams = names.map((name) => service.follow({ ...request, name }, { signal: stopped.signal }));
  expect(Math.max(...(await eventsByIteration(streams)))).toBeLessThanOrEqual(EVENTS_PER_ITERATION);
  const counts = eventsByIteration(streams);
  service.notify();
  expect(Math.max(...(await counts))).toBeLessThanOrEqual(EVENTS_PER_ITERATION);
});

// Guards against followers that give a stream up and reopen it while the instance serves others.
it('acknowledges at once a stream that waits for others', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const names = Array.from({ length: FOLLOWERS }, (_, at) => `entry-${at}`);
  const streams = names.map((name) => service.follow({ ...request, name }, { signal: stopped.signal }));
  let queued = 0;
  for (const stream of streams) {
    void stream.next().then((next) => {
      if (next.done !== true && next.value.queued) queued += 1;
    });
  }
  await nextIteration();
  expect(queued).toBe(FOLLOWERS - 1);
});

// Guards against established followers that receive nothing while new ones get snapshots, and reopen their streams too.
it('serves established followers before new ones', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const follow = (name: string): Events => service.follow({ ...request, name }, { signal: stopped.signal });
  const known = follow('known');
  await nextEvent(known);
  const order: string[] = [];
  const others = Array.from({ length: FOLLOWERS }, (_, at) => follow(`entry-${at}`));
  const firstEvents = others.map((stream) => nextEvent(stream).then(() => order.push('new')));
  service.notify();
  void nextEvent(known).then(() => order.push('known'));
  await Promise.all(firstEvents);
  expect(order.slice(0, 3)).toContain('known');
});

// Guards against entries that apply long replaced configurations, one after the other, while the log is replayed after a
// restart.
it('sends no configuration while the log is replayed', async () => {
  commandLog.isolate(true);
  commandLog.behind = 1n;
  const request = create(controlMessage.FollowRequestSchema, { name: 'entry', role: 'entry', bulk: true });
  const stream = service.follow(request, { signal: stopped.signal });
  const received: number[] = [];
  const reading = (async () => {
    for await (const { content } of stream) if (content.length > 0) received.push(content[0] ?? 0);
  })();
  for (const number of [1, 2, 3]) {
    if (number === 3) commandLog.behind = 0n;
    const content = new Uint8Array([number]);
    applyOne(machine, { case: 'configure', value: { number: BigInt(number), content, source: content } });
    for (let count = 0; count < 4; count += 1) await nextIteration();
    service.notify();
    for (let count = 0; count < 4; count += 1) await nextIteration();
  }
  expect(received).toEqual([3]);
  stopped.abort();
  await reading;
});

// Guards against an election that is delayed because each of its steps causes an event to all followers.
it('sends an event when the quorum contact changes, not at each step of an election', async () => {
  const request = create(controlMessage.FollowRequestSchema, { name: 'entry', role: 'entry', bulk: true });
  const stream = service.follow(request, { signal: stopped.signal });
  const received: boolean[] = [];
  const reading = (async () => {
    for await (const { vouched } of stream) received.push(vouched);
  })();
  const change = async (action: () => void): Promise<void> => {
    action();
    for (let count = 0; count < 6; count += 1) await nextIteration();
  };
  await change(() => undefined);
  for (let steps = 0; steps < 3; steps += 1) {
    await change(() => {
      commandLog.notifyStatus();
    });
  }
  await change(() => {
    commandLog.isolate(true);
  });
  expect(received).toEqual([true, false]);
  stopped.abort();
  await reading;
});
