/** A control instance whose disk hangs while it starts. */
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, StallWatch, silentLog, silentMetrics } from '@jasmineroute/core';
import { Peers } from '@jasmineroute/protocol';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createControl } from './createControl.js';
import { controlSettings } from '../setting/index.js';

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
};

let peers: Peers;

beforeEach(() => {
  peers = new Peers(undefined);
});

afterEach(() => {
  peers.close();
});

// Guards against an instance that waits for its disk without saying so.
it.each([
  ['the size of its folder', {}, 'statfs'],
  ['its folder', { maxFolderMb: '100' }, 'mkdir'],
])('says which call it waits for: %s', async (_name, bounds, call) => {
  const clock = new ManualClock();
  const disk = MemoryDisk.empty();
  const waits: (string | undefined)[] = [];
  const context = {
    name: 'a',
    incarnation: 1n,
    dataCentre: 'here',
    dataFolder: '/data',
    controls: ['127.0.0.1:1'],
    clock,
    stalls: new StallWatch(clock),
    log: silentLog,
    metrics: silentMetrics,
    peers,
    reportWait: (waitsFor: string | undefined) => waits.push(waitsFor),
  };
  const settings = controlSettings.parse({ replicas: 'a=127.0.0.1:1', ...bounds });
  const release = disk.hang();
  const since = clock.now().toISOString();
  const created = createControl(context, settings, disk);
  await settle();
  await clock.advance(1_000);
  expect(waits).toEqual([`the disk of /data does not answer (${call}, since ${since})`]);
  release();
  const control = (await created)._unsafeUnwrap();
  expect(waits.at(-1)).toBeUndefined();
  await control.close();
});
