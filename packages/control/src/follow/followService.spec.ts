import { create } from '@bufbuild/protobuf';
import { silentLog, systemClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { LocalLog, applyOne } from '../fixture/index.js';
import { RecentReports } from '../recent/index.js';
import { createState } from '../role/createState.js';
import type { ControlState } from '../state/index.js';
import { RelayedTargets, TargetBook } from '../targets/index.js';
import { FollowService } from './followService.js';
import { OtherControls } from './otherControls.js';

const FOLLOWERS = 24;
const HEARTBEAT_MS = 1_000;

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
  service = new FollowService({
    ...boards,
    configuration,
    targets: new TargetBook(systemClock, silentLog, HEARTBEAT_MS),
    relayed,
    others: new OtherControls({ ...boards, relayed, vouched, clock: systemClock }),
    lostStores: () => [],
    kept: undefined,
    commandLog,
    clock: systemClock,
    log: silentLog,
    ended: stopped.signal,
  });
});

afterEach(() => {
  stopped.abort();
});

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

type Events = AsyncGenerator<controlMessage.FollowEvent>;

/** The next event of a stream that tells something. */
async function nextTold(stream: Events): Promise<void> {
  for await (const { queued } of { [Symbol.asyncIterator]: () => ({ next: () => stream.next() }) })
    if (!queued) return;
}

/** Reads one event of each stream. @returns how many came in each turn of the event loop. */
async function eventsByTurn(streams: readonly Events[]): Promise<number[]> {
  const byTurn: number[] = [];
  let events = 0;
  for (const stream of streams) void nextTold(stream).then(() => (events += 1));
  for (let told = 0; told < streams.length; told = events) {
    await turn();
    byTurn.push(events - told);
  }
  return byTurn;
}

// Guards against a leader that loses its quorum, as it answers no heartbeat while it tells all entries in one turn.
it('tells one follower in a turn of the event loop, when they come and when there is news', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const names = Array.from({ length: FOLLOWERS }, (_, at) => `entry-${at}`);
  const streams = names.map((name) => service.follow({ ...request, name }, { signal: stopped.signal }));
  expect(Math.max(...(await eventsByTurn(streams)))).toBe(1);
  const told = eventsByTurn(streams);
  service.raise();
  expect(Math.max(...(await told))).toBe(1);
});

// Guards against followers that give a stream up and open it anew while the instance is busy with others.
it('says at once that it has taken a stream up which others come before', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const names = Array.from({ length: FOLLOWERS }, (_, at) => `entry-${at}`);
  const streams = names.map((name) => service.follow({ ...request, name }, { signal: stopped.signal }));
  let queued = 0;
  for (const stream of streams) {
    void stream.next().then((next) => {
      if (next.done !== true && next.value.queued) queued += 1;
    });
  }
  await turn();
  expect(queued).toBe(FOLLOWERS - 1);
});

// Guards against followers that are well hearing nothing while others are told all, so that they open their streams anew too.
it('tells followers that it told before ahead of those that have just come', async () => {
  const request = create(controlMessage.FollowRequestSchema, { role: 'entry', bulk: true });
  const follow = (name: string): Events => service.follow({ ...request, name }, { signal: stopped.signal });
  const known = follow('known');
  await nextTold(known);
  const order: string[] = [];
  const others = Array.from({ length: FOLLOWERS }, (_, at) => follow(`entry-${at}`));
  const told = others.map((stream) => nextTold(stream).then(() => order.push('new')));
  service.raise();
  void nextTold(known).then(() => order.push('known'));
  await Promise.all(told);
  expect(order.slice(0, 3)).toContain('known');
});

// Guards against entries that put configurations in force which were replaced long ago, one after the other after a restart.
it('tells of no configuration while the log is replayed', async () => {
  commandLog.isolate(true);
  commandLog.behind = 1n;
  const request = create(controlMessage.FollowRequestSchema, { name: 'entry', role: 'entry', bulk: true });
  const stream = service.follow(request, { signal: stopped.signal });
  const told: number[] = [];
  const reading = (async () => {
    for await (const { content } of stream) if (content.length > 0) told.push(content[0] ?? 0);
  })();
  for (const number of [1, 2, 3]) {
    if (number === 3) commandLog.behind = 0n;
    const content = new Uint8Array([number]);
    applyOne(machine, { case: 'configure', value: { number: BigInt(number), content, source: content } });
    for (let turns = 0; turns < 4; turns += 1) await turn();
    service.raise();
    for (let turns = 0; turns < 4; turns += 1) await turn();
  }
  expect(told).toEqual([3]);
  stopped.abort();
  await reading;
});

// Guards against an election that is late, as each of its steps is told to all followers.
it('tells followers nothing of the steps of an election but the contact with a quorum', async () => {
  const request = create(controlMessage.FollowRequestSchema, { name: 'entry', role: 'entry', bulk: true });
  const stream = service.follow(request, { signal: stopped.signal });
  const told: boolean[] = [];
  const reading = (async () => {
    for await (const { vouched } of stream) told.push(vouched);
  })();
  const change = async (action: () => void): Promise<void> => {
    action();
    for (let turns = 0; turns < 6; turns += 1) await turn();
  };
  await change(() => undefined);
  for (let steps = 0; steps < 3; steps += 1) {
    await change(() => {
      commandLog.step();
    });
  }
  await change(() => {
    commandLog.isolate(true);
  });
  expect(told).toEqual([true, false]);
  stopped.abort();
  await reading;
});
