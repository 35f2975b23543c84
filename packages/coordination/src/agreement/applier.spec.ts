import { ManualClock, silentLog } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { MemoryDisk } from '../storage/index.js';
import { MemoryCluster, MemoryNetwork, seeded } from '../testing/index.js';
import { ReplicatedLog } from './index.js';

const COMMANDS = 300;

/** Time that the state machine takes to apply a command, milliseconds. */
const COMMAND_MS = 1;

/** Longest time for which the event loop may be blocked, milliseconds: half the heartbeat interval. */
const TURN_MS = 50;

/** A manual clock that also advances by the simulated work. */
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

// Guards against a leader that is lost after a restart of all replicas, because each replica replays the whole log in one
// turn.
it('replaying a log yields to the event loop, and contact is reported only afterwards', async () => {
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
  // One step of this test spans at most two turns.
  expect(most * COMMAND_MS).toBeLessThanOrEqual(2 * TURN_MS);
  await second.close();
});

const ENTRIES = 2_000;

/** Limit on the entries applied in one turn of the event loop. */
const MAX_IN_TURN = 256;

// Guards against a new leader that reads no messages and sends no heartbeats while it applies a whole log.
it('a long log is applied over several turns of the event loop', async () => {
  const cluster = new MemoryCluster(3, ['a']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const node = cluster.find('a');
  for (let count = 0; count < ENTRIES; count += 1) cluster.propose(node, count.toString());
  expect(await cluster.until(() => node.createRecorder.commands.length === ENTRIES, 10_000)).toBe(true);
  cluster.crash(node);
  await cluster.start(node);
  let applied = node.createRecorder.commands.length;
  let mostInTurn = 0;
  let isOver = false;
  const sample = (): void => {
    const now = node.createRecorder.commands.length;
    mostInTurn = Math.max(mostInTurn, now - applied);
    applied = now;
    if (!isOver) setImmediate(sample);
  };
  sample();
  expect(await cluster.until(() => node.createRecorder.commands.length === ENTRIES, 10_000)).toBe(true);
  isOver = true;
  cluster.crash(node);
  expect(cluster.violations).toEqual([]);
  expect(mostInTurn).toBeLessThanOrEqual(MAX_IN_TURN);
});

const MB = 1024 * 1024;

/** Size limit of a replica folder, MB: log up to the next snapshot, retained entries, and a margin. */
const FOLDER_MB = 32;

// Guards against disk and memory filled up by long entries, when retention only limits their number.
it('retention of entries covered by a snapshot is limited by bytes as well as by number', async () => {
  const cluster = new MemoryCluster(1, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  const leader = cluster.leader() ?? cluster.find('a');
  // The state of the test replicas holds all commands, so its snapshots would grow; a production snapshot holds one
  // configuration.
  leader.createRecorder.snapshot = () => new Uint8Array();
  for (let count = 0; count < 60; count += 1) {
    cluster.propose(leader, `${count}`.padEnd(MB, '.'));
    expect(await cluster.until(() => leader.createRecorder.commands.length === count + 1, 10_000)).toBe(true);
  }
  const names = await leader.disk.list('/replica');
  const files = await Promise.all(names.map((name) => leader.disk.read(`/replica/${name}`)));
  const bytes = files.reduce((sum, file) => sum + file.length, 0);
  expect(bytes / MB).toBeLessThan(FOLDER_MB);
});
