/** Time from an accepted change to its being in force on all watchers, and catch-up. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { modelText } from '../fixture/index.js';
import { ControlThread } from './controlThread.js';
import { settled } from './measure.js';
import type { Measure } from './measure.js';
import { machineTime } from './meter.js';
import { WatcherThread } from './watcherThread.js';
import type { InForce } from './watcherThread.js';

const THREADS = 8;
const WATCHERS = 200;
const CHANGES = 40;
const CHANGE_EVERY_MS = 500;
const CUSTOMERS = 300;
const MISSED = 1_000;
const SERVICES = 6;
const CATCH_UP_WATCHERS = 40;
const SETTLE_MS = 2_000;
/** How long a control instance takes to find out that it is isolated, as the replicated log has it by default. */
const ISOLATION_MS = 1_200;

/** Watchers spread over control instances: each starts with one of its own, and knows them all. */
function startWatchers(
  addresses: readonly string[],
  count = WATCHERS / THREADS,
  folder?: string,
): WatcherThread[] {
  return Array.from(
    { length: THREADS },
    (_, index) =>
      new WatcherThread({ prefix: `w${index}`, count, controls: [addresses], role: 'entry', folder }),
  );
}

const allInForce = (threads: readonly WatcherThread[]): InForce[] =>
  threads.flatMap(({ inForce }) => inForce);

/** Waits until a revision is in force on `count` watchers, 30 s at most. */
async function reached(threads: readonly WatcherThread[], revision: number, count: number): Promise<void> {
  const deadline = machineTime() + 30_000;
  while (machineTime() < deadline) {
    if (allInForce(threads).filter((one) => one.revision >= revision).length >= count) return;
    await wait(20);
  }
  throw new Error(`revision ${revision} is not in force on ${count} watchers`);
}

/** Accepts a text on all; revisions count up from 1 alike on each. */
function acceptAll(controls: readonly ControlThread[], service: string, text: string): void {
  for (const control of controls) control.accept(service, text);
}

const addressesOf = (controls: readonly ControlThread[]): string[] => controls.map(({ address }) => address);

/** Delays from acceptance to force on each watcher, one change after the other. */
export async function measureSpread(): Promise<Measure[]> {
  const controls = await ControlThread.startAll(3);
  acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 1));
  const threads = startWatchers(addressesOf(controls));
  await reached(threads, 1, WATCHERS);
  await wait(SETTLE_MS);
  const acceptedAt = new Map<number, number>();
  for (let change = 0; change < CHANGES; change += 1) {
    acceptedAt.set(change + 2, machineTime());
    acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 100 + change));
    await wait(CHANGE_EVERY_MS);
  }
  await reached(threads, CHANGES + 1, WATCHERS);
  const delays = allInForce(threads).flatMap(({ revision, at }) => {
    const accepted = acceptedAt.get(revision);
    return accepted === undefined ? [] : [at - accepted];
  });
  await stopAll([...threads, ...controls]);
  return settled(`accept to in force, ${WATCHERS} watchers`, delays);
}

/** The same for one change, with one of five control instances killed and one isolated as it is accepted. */
export async function measureFaults(): Promise<Measure[]> {
  const controls = await ControlThread.startAll(5);
  const [killed, isolated, ...others] = controls;
  acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 1));
  const threads = startWatchers(addressesOf(controls));
  await reached(threads, 1, WATCHERS);
  await wait(SETTLE_MS);
  const at = machineTime();
  acceptAll(others, 'pool', modelText('pool', CUSTOMERS, 2));
  void killed?.stop();
  await wait(ISOLATION_MS);
  isolated?.setVouched(false);
  await reached(threads, 2, WATCHERS);
  const delays = delaysOf(threads, 2, at);
  await stopAll([...threads, ...controls]);
  return settled('the same, one control killed and one isolated', delays);
}

/** Time from a watcher's start to its having all, when many changes passed it by since it stopped. */
export async function measureCatchUp(): Promise<Measure[]> {
  const folder = await mkdtemp(join(tmpdir(), 'feed-'));
  const controls = await ControlThread.startAll(3);
  const accept = (change: number): void => {
    const service = `pool-${change % SERVICES}`;
    acceptAll(controls, service, modelText(service, CUSTOMERS, 1 + change));
  };
  for (let change = 0; change < SERVICES; change += 1) accept(change);
  const stopped = startWatchers(addressesOf(controls), CATCH_UP_WATCHERS / THREADS, folder);
  await reached(stopped, SERVICES, CATCH_UP_WATCHERS);
  await stopAll(stopped);
  for (let change = 0; change < MISSED; change += 1) accept(SERVICES + change);
  await wait(SETTLE_MS);
  const threads = startWatchers(addressesOf(controls), CATCH_UP_WATCHERS / THREADS, folder);
  await reached(threads, SERVICES + MISSED, CATCH_UP_WATCHERS);
  const delays = allInForce(threads).filter(({ revision }) => revision === SERVICES + MISSED);
  await stopAll([...threads, ...controls]);
  await rm(folder, { recursive: true });
  const name = `restart after ${MISSED} missed changes, ${CATCH_UP_WATCHERS} watchers at one time`;
  return settled(
    name,
    delays.map(({ afterStart }) => afterStart),
  );
}

function delaysOf(threads: readonly WatcherThread[], revision: number, since: number): number[] {
  return allInForce(threads)
    .filter((one) => one.revision === revision)
    .map(({ at }) => at - since);
}

async function stopAll(started: readonly { stop(): Promise<void> }[]): Promise<void> {
  await Promise.all(started.map((one) => one.stop()));
}
