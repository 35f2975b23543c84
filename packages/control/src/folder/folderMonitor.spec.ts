import { ManualClock, silentMetrics } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { controlEvents } from '../events.js';
import { FolderMonitor } from './folderMonitor.js';

const { folderFilling, folderRelieved, folderGrown, folderFreeUnknown } = controlEvents;

// Guards against a disk that the instance fills itself without a line in its log.
it('a folder that fills is warned of once, and so is its relief', async () => {
  const events: number[] = [];
  const log: Log = { event: ({ id }) => events.push(id), with: () => log };
  let journal = 0;
  const parts = { journal: 0, snapshots: 0, origins: 0, evidence: 0, departures: 0 };
  const held = () => ({ parts: { ...parts, journal }, largestLog: journal });
  const free = () => Promise.reject(new Error('refused'));
  const source = { held, free, limitBytes: 1_000 };
  const monitor = new FolderMonitor(source, new ManualClock(), log, silentMetrics);
  for (const bytes of [100, 700, 760, 740, 790, 650, 590, 100, 800]) {
    journal = bytes;
    await monitor.measure();
  }
  expect(events.filter((id) => id === folderFreeUnknown.id)).toHaveLength(1);
  expect(events.filter((id) => id !== folderFreeUnknown.id && id !== folderGrown.id)).toEqual([
    folderFilling.id,
    folderRelieved.id,
    folderFilling.id,
  ]);
});

// Guards against a warning that never comes where others fill the disk.
it('the space that the file system has left bounds what the folder may hold', async () => {
  const events: unknown[] = [];
  const log: Log = {
    event: ({ id }, fields) => events.push({ id, limit: fields?.limit }),
    with: () => log,
  };
  const parts = { journal: 800, snapshots: 0, origins: 0, evidence: 0, departures: 0 };
  const held = () => ({ parts, largestLog: 800 });
  const source = { held, free: () => Promise.resolve(200) };
  await new FolderMonitor(source, new ManualClock(), log, silentMetrics).measure();
  expect(events).toContainEqual({ id: folderFilling.id, limit: 1_000 });
});
