/** Measures the time from acceptance of a change until all watchers have applied it, and the time to catch up. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { modelText } from '../fixture/index.js';
import { ControlThread } from './controlThread.js';
import { percentileRows } from './measure.js';
import type { Measure } from './measure.js';
import { machineTime } from './meter.js';
import { WatcherThread } from './watcherThread.js';
import type { AppliedRevision } from './watcherThread.js';

const THREADS = 8;
const WATCHERS = 200;
const CHANGES = 40;
const CHANGE_EVERY_MS = 500;
const CUSTOMERS = 300;
const MISSED_CHANGES = 1_000;
const SERVICES = 6;
const CATCH_UP_WATCHERS = 40;
const SETTLE_MS = 2_000;
/** Time until a control instance detects that it is isolated, in milliseconds: the default of the replicated log. */
const ISOLATION_MS = 1_200;

/** Starts watchers in several threads. Each has the addresses of all control instances and begins with a random one. */
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

const allApplied = (threads: readonly WatcherThread[]): AppliedRevision[] =>
  threads.flatMap(({ applied }) => applied);

/** Waits until `count` watchers have applied a revision, at most 30 s. */
async function waitForRevision(
  threads: readonly WatcherThread[],
  revision: number,
  count: number,
): Promise<void> {
  const deadline = machineTime() + 30_000;
  while (machineTime() < deadline) {
    if (allApplied(threads).filter((one) => one.revision >= revision).length >= count) return;
    await wait(20);
  }
  throw new Error(`revision ${revision} is not in force on ${count} watchers`);
}

/** Accepts a text on all control instances. Each of them assigns the same revisions, starting at 1. */
function acceptAll(controls: readonly ControlThread[], service: string, text: string): void {
  for (const control of controls) control.accept(service, text);
}

const addressesOf = (controls: readonly ControlThread[]): string[] => controls.map(({ address }) => address);

/** Measures the delay from acceptance to application on each watcher, for a series of changes. */
export async function measureSpread(): Promise<Measure[]> {
  const controls = await ControlThread.startAll(3);
  acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 1));
  const threads = startWatchers(addressesOf(controls));
  await waitForRevision(threads, 1, WATCHERS);
  await wait(SETTLE_MS);
  const acceptedAt = new Map<number, number>();
  for (let change = 0; change < CHANGES; change += 1) {
    acceptedAt.set(change + 2, machineTime());
    acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 100 + change));
    await wait(CHANGE_EVERY_MS);
  }
  await waitForRevision(threads, CHANGES + 1, WATCHERS);
  const delays = allApplied(threads).flatMap(({ revision, at }) => {
    const accepted = acceptedAt.get(revision);
    return accepted === undefined ? [] : [at - accepted];
  });
  await stopAll([...threads, ...controls]);
  return percentileRows(`accept to in force, ${WATCHERS} watchers`, delays);
}

/** Measures the same delay for one change, accepted while one of five control instances is killed and one isolated. */
export async function measureFaults(): Promise<Measure[]> {
  const controls = await ControlThread.startAll(5);
  const [killed, isolated, ...others] = controls;
  acceptAll(controls, 'pool', modelText('pool', CUSTOMERS, 1));
  const threads = startWatchers(addressesOf(controls));
  await waitForRevision(threads, 1, WATCHERS);
  await wait(SETTLE_MS);
  const at = machineTime();
  acceptAll(others, 'pool', modelText('pool', CUSTOMERS, 2));
  void killed?.stop();
  await wait(ISOLATION_MS);
  isolated?.setVouched(false);
  await waitForRevision(threads, 2, WATCHERS);
  const delays = delaysOf(threads, 2, at);
  await stopAll([...threads, ...controls]);
  return percentileRows('the same, one control killed and one isolated', delays);
}

/** Measures the time from a watcher's start until it has applied many changes missed while it was stopped. */
export async function measureCatchUp(): Promise<Measure[]> {
  const folder = await mkdtemp(join(tmpdir(), 'feed-'));
  const controls = await ControlThread.startAll(3);
  const accept = (change: number): void => {
    const service = `pool-${change % SERVICES}`;
    acceptAll(controls, service, modelText(service, CUSTOMERS, 1 + change));
  };
  for (let change = 0; change < SERVICES; change += 1) accept(change);
  const stopped = startWatchers(addressesOf(controls), CATCH_UP_WATCHERS / THREADS, folder);
  await waitForRevision(stopped, SERVICES, CATCH_UP_WATCHERS);
  await stopAll(stopped);
  for (let change = 0; change < MISSED_CHANGES; change += 1) accept(SERVICES + change);
  await wait(SETTLE_MS);
  const threads = startWatchers(addressesOf(controls), CATCH_UP_WATCHERS / THREADS, folder);
  await waitForRevision(threads, SERVICES + MISSED_CHANGES, CATCH_UP_WATCHERS);
  const delays = allApplied(threads).filter(({ revision }) => revision === SERVICES + MISSED_CHANGES);
  await stopAll([...threads, ...controls]);
  await rm(folder, { recursive: true });
  const name = `restart after ${MISSED_CHANGES} missed changes, ${CATCH_UP_WATCHERS} watchers at one time`;
  return percentileRows(
    name,
    delays.map(({ afterStart }) => afterStart),
  );
}

function delaysOf(threads: readonly WatcherThread[], revision: number, since: number): number[] {
  return allApplied(threads)
    .filter((one) => one.revision === revision)
    .map(({ at }) => at - since);
}

async function stopAll(started: readonly { stop(): Promise<void> }[]): Promise<void> {
  await Promise.all(started.map((one) => one.stop()));
}
