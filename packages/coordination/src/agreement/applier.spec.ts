import { ManualClock, silentLog } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { MemoryDisk } from '../storage/index.js';
import { MemoryCluster, MemoryNetwork, seeded } from '../testing/index.js';
import { ReplicatedLog } from './index.js';

const COMMANDS = 300;

/** Time that the state machine takes for a command, milliseconds. */
const COMMAND_MS = 1;

/** Time for which the event loop may be held up, milliseconds: half of the time between heartbeats. */
const TURN_MS = 50;

/** A clock that also moves on with the work that is done. */
class WorkingClock extends ManualClock {
  private workedMs = 0;

  override monotonic(): number {
    return super.monotonic() + this.workedMs;
  }

  work(ms: number): void {
    this.workedMs += ms;
  }
}

const turn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

// Guards against a leader that is lost after a restart of all, as each replica applies the whole log in one turn.
it('a replayed log leaves turns of the event loop to others, and contact is told of behind it', async () => {
  const clock = new WorkingClock();
  const disk = MemoryDisk.empty();
  const random = seeded(1);
  const network = new MemoryNetwork(clock, random);
  let applied = 0;
  const open = async (): Promise<ReplicatedLog> => {
    applied = 0;
    const opened = await ReplicatedLog.open({
      name: 'a',
      folder: '/replica',
      initialReplicas: [{ name: 'a', address: 'a' }],
      connect: (to) => network.connect('a', to),
      drop: () => undefined,
      clock,
      log: silentLog,
      disk,
      random,
      stateMachine: {
        apply: () => {
          applied += 1;
          clock.work(COMMAND_MS);
          return new Uint8Array();
        },
        snapshot: () => new Uint8Array(),
        restore: () => undefined,
      },
    });
    const log = opened._unsafeUnwrap();
    await log.start('a');
    return log;
  };
  const first = await open();
  const proposed = Array.from({ length: COMMANDS }, () => first.propose(new Uint8Array([1]), 10_000));
  await clock.advance(2_000);
  for (const outcome of await Promise.all(proposed)) expect(outcome.isOk()).toBe(true);
  await first.close();

  const second = await open();
  let appliedAtContact: number | undefined;
  second.onStatus(({ vouched }) => {
    if (vouched) appliedAtContact ??= applied;
  });
  let most = 0;
  for (let steps = 0; steps < 2_000 && appliedAtContact === undefined; steps += 1) {
    const before = applied;
    await (steps % 2 === 0 ? turn() : clock.advance(1));
    most = Math.max(most, applied - before);
  }
  expect(appliedAtContact).toBe(COMMANDS);
  // A step of this test spans two turns at most.
  expect(most * COMMAND_MS).toBeLessThanOrEqual(2 * TURN_MS);
  await second.close();
});

const ENTRIES = 2_000;

/** Entries that may be applied in one turn of the event loop. */
const MOST_IN_TURN = 256;

// Guards against a replica that reads no message and sends no heartbeat while it applies a whole log after its election.
it('a long log is applied over several turns of the event loop', async () => {
  const cluster = new MemoryCluster(3, ['a']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const node = cluster.find('a');
  for (let count = 0; count < ENTRIES; count += 1) cluster.propose(node, count.toString());
  expect(await cluster.until(() => node.recorder.commands.length === ENTRIES, 10_000)).toBe(true);
  cluster.crash(node);
  await cluster.start(node);
  let applied = node.recorder.commands.length;
  let mostInTurn = 0;
  let isOver = false;
  const look = (): void => {
    const now = node.recorder.commands.length;
    mostInTurn = Math.max(mostInTurn, now - applied);
    applied = now;
    if (!isOver) setImmediate(look);
  };
  look();
  expect(await cluster.until(() => node.recorder.commands.length === ENTRIES, 10_000)).toBe(true);
  isOver = true;
  cluster.crash(node);
  expect(cluster.violations).toEqual([]);
  expect(mostInTurn).toBeLessThanOrEqual(MOST_IN_TURN);
});

const MB = 1024 * 1024;

/** Most that the folder of a replica may take, MB: what a snapshot is taken after, what is kept behind it, and some more. */
const FOLDER_MB = 32;

// Guards against a disk and a memory that are filled by long entries, of which as many are kept as of short ones.
it('long entries behind a snapshot are kept for their bytes, not for their number', async () => {
  const cluster = new MemoryCluster(1, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const leader = cluster.leader() ?? cluster.find('a');
  // The state of these replicas holds all commands, as snapshots of it do; those of a configuration hold one.
  leader.recorder.snapshot = () => new Uint8Array();
  for (let count = 0; count < 60; count += 1) {
    cluster.propose(leader, `${count}`.padEnd(MB, '.'));
    expect(await cluster.until(() => leader.recorder.commands.length === count + 1, 10_000)).toBe(true);
  }
  const names = await leader.disk.list('/replica');
  const files = await Promise.all(names.map((name) => leader.disk.read(`/replica/${name}`)));
  const bytes = files.reduce((sum, file) => sum + file.length, 0);
  expect(bytes / MB).toBeLessThan(FOLDER_MB);
});
