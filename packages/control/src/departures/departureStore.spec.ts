import { create } from '@bufbuild/protobuf';
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { RecordFiles } from '../files/index.js';
import { departureFormat } from './departureFormat.js';
import { DepartureStore, departureId } from './departureStore.js';

const { Announcement } = controlMessage;

const departureOf = (born: number): controlMessage.Departure =>
  create(controlMessage.DepartureSchema, { name: 't', born: BigInt(born), announcement: Announcement.LEFT });

describe('the departures at a control instance', () => {
  let disk: MemoryDisk;

  beforeEach(() => {
    disk = MemoryDisk.empty();
  });

  async function open(): Promise<DepartureStore> {
    const files = new RecordFiles(disk, '/departures', departureFormat, new ManualClock(), silentLog);
    const store = new DepartureStore(files);
    await store.open();
    return store;
  }

  const known = (store: DepartureStore): string[] => store.all().map(departureId);

  // Guards against an acknowledged departure that nobody remembers after a loss of power of all.
  it('are kept over losses of power from the moment that they count as stored', async () => {
    const expected: string[] = [];
    for (let born = 1; born <= 6; born += 1) {
      const store = await open();
      expect(known(store)).toEqual(expected);
      expect(await store.store([departureOf(born)])).toBe(true);
      expected.push(`t/${born}`);
      disk = disk.crash(() => 0);
    }
  });

  // Guards against a departure that counts as stored as an earlier write was in progress that did not contain it.
  it('are kept when several are stored at once', async () => {
    const store = await open();
    const stored = await Promise.all([1, 2, 3, 4].map((born) => store.store([departureOf(born)])));
    expect(stored).toEqual([true, true, true, true]);
    disk = disk.crash(() => 0);
    expect(known(await open())).toEqual(['t/1', 't/2', 't/3', 't/4']);
  });

  // Guards against a target without work after a restart of control: its id was used before, by one that left long ago.
  it('are dropped once a start is removed, also after a restart', async () => {
    const store = await open();
    await store.store([departureOf(1), departureOf(2)]);
    store.remove({ name: 't', born: 1 });
    await store.close();
    expect(known(await open())).toEqual(['t/2']);
  });

  it('do not count as stored without a disk, or on one that fails', async () => {
    expect(await new DepartureStore().store([departureOf(1)])).toBe(false);
    const store = await open();
    disk.writeError = 'ENOSPC';
    expect(await store.store([departureOf(1)])).toBe(false);
    disk.writeError = undefined;
    expect(await store.store([departureOf(1)])).toBe(true);
  });
});
