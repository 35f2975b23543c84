/** Runs the example with real sockets, files and timers. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { chooseAddresses, countWord, startReplica } from './embed.js';
import type { RunningReplica } from './embed.js';

let folder: string;
let replicas: RunningReplica[] = [];

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'coordination-example-'));
});

afterEach(async () => {
  await Promise.all(replicas.splice(0).map((replica) => replica.stop()));
  await rm(folder, { recursive: true, force: true });
});

test('three replicas count, and survive the loss of one and a restart of all', async () => {
  const addresses = await chooseAddresses(['a', 'b', 'c']);
  const start = () => Promise.all(addresses.map((address) => startReplica(address, addresses, folder)));
  replicas = await start();
  const [a, b, c] = replicas;
  if (a === undefined || b === undefined || c === undefined) throw new Error('no replicas');
  expect(await countWord(a, 'jasmine')).toBe('1');
  expect(await countWord(b, 'jasmine')).toBe('2');
  const leader = replicas.find(({ log }) => log.status().state === 'leader') ?? a;
  await leader.stop();
  replicas = replicas.filter((replica) => replica !== leader);
  const [remaining] = replicas;
  if (remaining === undefined) throw new Error('no replica left');
  expect(await countWord(remaining, 'jasmine')).toBe('3');
  await Promise.all(replicas.splice(0).map((replica) => replica.stop()));
  replicas = await start();
  const [restarted] = replicas;
  if (restarted === undefined) throw new Error('no replicas');
  expect(await countWord(restarted, 'jasmine')).toBe('4');
  const isEverywhere = () => replicas.every(({ counter }) => counter.countOf('jasmine') === 4);
  await vi.waitFor(() => {
    expect(isEverywhere()).toBe(true);
  }, 5_000);
  const reports = await restarted.log.replicas();
  expect(reports.map(({ reachable, voter }) => reachable && voter)).toEqual([true, true, true]);
});
