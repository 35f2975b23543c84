/** Measures the network traffic and processor time of one watcher that also sends heartbeats. */
import { setTimeout as wait } from 'node:timers/promises';
import {
  ControlStandIn,
  MemoryDocuments,
  MemoryInstances,
  agentInstance,
  modelText,
} from '../fixture/index.js';
import { ByteCounter, machineTime } from './meter.js';
import type { Measure } from './measure.js';
import { WatcherThread } from './watcherThread.js';

const WATCHERS = 25;
const TARGETS = 4_900;
const SERVICES = 6;
const CUSTOMERS = 1_900;
const SECONDS = 15;
const PLANNED_CHANGES_A_DAY = 12_000;
const DAY_SECONDS = 86_400;
/** 545 failures and restarts a day, each of which causes four state changes. */
const PLANNED_TRANSITIONS_A_DAY = 4 * 545;

interface Cost {
  readonly bytesASecond: number;
  /** Percent of a core. */
  readonly percent: number;
}

/** Measures the cost for `SECONDS` with changes at a multiple of the planned rate. */
async function run(
  thread: WatcherThread,
  counter: ByteCounter,
  documents: MemoryDocuments,
  instances: MemoryInstances,
  multiple: number,
): Promise<Cost> {
  const ended = new AbortController();
  const every = (aDay: number, action: (turn: number) => void) => async (): Promise<void> => {
    for (let turn = 0; multiple > 0; turn += 1) {
      await wait((DAY_SECONDS * 1_000) / (aDay * multiple), undefined, { signal: ended.signal });
      action(turn);
    }
  };
  const changeDocument = every(PLANNED_CHANGES_A_DAY, (turn) => {
    const service = `service-${turn % SERVICES}`;
    documents.accept(service, modelText(service, CUSTOMERS / SERVICES, 1_000 + turn));
  });
  const changeInstance = every(PLANNED_TRANSITIONS_A_DAY, (turn) => {
    instances.set(agentInstance(turn % TARGETS, turn % 2 === 0 ? 'suspect' : 'alive'));
  });
  await thread.busy();
  const [bytes, at] = [counter.bytes, machineTime()];
  const changes = [changeDocument(), changeInstance()].map((task) => task.catch(() => undefined));
  await wait(SECONDS * 1_000);
  ended.abort();
  const busy = await thread.busy();
  const seconds = (machineTime() - at) / 1_000;
  await Promise.all(changes);
  return { bytesASecond: (counter.bytes - bytes) / seconds / WATCHERS, percent: (100 * busy) / WATCHERS };
}

/** Measures the cost without changes and at ten times the planned rate, and interpolates for the planned rate. */
export async function measureIdle(): Promise<Measure[]> {
  const [documents, instances] = [new MemoryDocuments(), new MemoryInstances()];
  for (let index = 0; index < TARGETS; index += 1) instances.set(agentInstance(index));
  for (let index = 0; index < SERVICES; index += 1)
    documents.accept(`service-${index}`, modelText(`service-${index}`, CUSTOMERS / SERVICES, 1));
  const control = await ControlStandIn.start({ name: 'c0', documents, instances });
  const counter = new ByteCounter(control.port);
  const address = await counter.open();
  const thread = new WatcherThread({ prefix: 'w', count: WATCHERS, controls: [[address]], role: 'entry' });
  while (thread.applied.filter(({ revision }) => revision === SERVICES).length < WATCHERS) await wait(50);
  const first = counter.bytes;
  await wait(3_000);
  const idle = await run(thread, counter, documents, instances, 0);
  const tenfold = await run(thread, counter, documents, instances, 10);
  await thread.stop();
  counter.close();
  await control.stop();
  const planned = (pick: (cost: Cost) => number): number => pick(idle) + (pick(tenfold) - pick(idle)) / 10;
  const rows = (name: string, cost: Cost): Measure[] => [
    { name: `${name}, bytes of TCP payload a second`, value: cost.bytesASecond, unit: 'B/s' },
    { name: `${name}, busy share of a core`, value: cost.percent, unit: '%' },
  ];
  const atPlan = {
    bytesASecond: planned((cost) => cost.bytesASecond),
    percent: planned((cost) => cost.percent),
  };
  return [
    {
      name: `first view: ${TARGETS} targets, ${SERVICES} documents`,
      value: first / WATCHERS / 1_000,
      unit: 'KB',
    },
    ...rows('watcher with beats, no changes', idle),
    ...rows('at the planned rate (on the line)', atPlan),
    ...rows('at ten times the planned rate', tenfold),
  ];
}
