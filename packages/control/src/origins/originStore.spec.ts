import { create } from '@bufbuild/protobuf';
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { controlMessage, streamKey } from '@jasmineroute/protocol';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { RecordFiles } from '../files/index.js';
import { originFormat } from './originFormat.js';
import { OriginStore } from './originStore.js';

const SYNC_MS = 200;

const keyOf = (stream: number): Uint8Array => streamKey('harbour', `q${stream}`);

function originsOf(from: number, to: number): controlMessage.StreamOrigins {
  const numbers = Array.from({ length: to - from + 1 }, (_, at) => from + at);
  const origins = numbers.map((stream) => {
    const fields = { service: 's', softwareVersion: `v${stream % 3}`, lifetimeMs: 15_000 };
    return create(controlMessage.StreamOriginSchema, { stream: keyOf(stream), ...fields });
  });
  return create(controlMessage.StreamOriginsSchema, { origins });
}

describe('the origins of streams at a control instance', () => {
  let clock: ManualClock;
  let disk: MemoryDisk;

  beforeEach(() => {
    clock = new ManualClock();
    disk = MemoryDisk.empty();
  });

  async function open(): Promise<OriginStore> {
    const store = new OriginStore(
      clock,
      silentMetrics,
      new RecordFiles(disk, '/origins', originFormat, clock, silentLog),
    );
    await store.open();
    return store;
  }

  const versionAt = (store: OriginStore, stream: number): string | undefined =>
    store.find(create(controlMessage.FindOriginsRequestSchema, { streams: [keyOf(stream)] })).origins[0]
      ?.softwareVersion;

  const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
  };

  // Guards against streams that nobody knows after a loss of power of all.
  it('are known after a loss of power once they are synced, and never with another version', async () => {
    const randomNumbers = fc.infiniteStream(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }));
    await fc.assert(
      fc.asyncProperty(randomNumbers, async (numbers) => {
        disk = MemoryDisk.empty();
        const store = await open();
        store.record(originsOf(1, 20));
        await settle();
        await clock.advance(SYNC_MS);
        await settle();
        for (const from of [21, 26, 31]) {
          store.record(originsOf(from, from + 4));
          await settle();
        }
        disk = disk.crash(() => Number(numbers.next().value));
        const restarted = await open();
        for (let stream = 1; stream <= 35; stream += 1) {
          const possible = stream <= 20 ? [`v${stream % 3}`] : [undefined, `v${stream % 3}`];
          expect(possible).toContain(versionAt(restarted, stream));
        }
      }),
      { numRuns: 30 },
    );
  });

  it('are known after a process ended without a sync', async () => {
    const store = await open();
    store.record(originsOf(1, 3));
    await settle();
    expect(versionAt(await open(), 2)).toBe('v2');
  });

  // Guards against a disk that fills up with origins.
  it('are dropped from the disk two generations later', async () => {
    const store = await open();
    for (let round = 0; round < 6; round += 1) {
      store.record(originsOf(round * 10, round * 10 + 9));
      await settle();
      await clock.advance(40_000);
      await settle();
    }
    expect((await disk.list('/origins')).length).toBeLessThanOrEqual(3);
    expect(versionAt(await open(), 55)).toBe('v1');
  });

  // Guards against a control instance that fails, or forgets what it has in memory, when its disk is full.
  it('stay known in memory while the disk is full, and are stored again afterwards', async () => {
    const store = await open();
    disk.writeError = 'ENOSPC';
    store.record(originsOf(1, 5));
    await settle();
    expect(versionAt(store, 4)).toBe('v1');
    disk.writeError = undefined;
    store.record(originsOf(6, 9));
    await settle();
    expect(versionAt(await open(), 8)).toBe('v2');
  });
});
