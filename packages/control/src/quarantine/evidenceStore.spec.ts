import { create } from '@bufbuild/protobuf';
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { controlMessage, requestFingerprint } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { RecordFiles } from '../files/index.js';
import { evidenceFormat } from './evidenceFormat.js';
import { EvidenceStore } from './evidenceStore.js';

function evidenceOf(request: number, ...crashed: string[]): controlMessage.CrashEvidence {
  const fingerprint = requestFingerprint('harbour', `/r/${request}`, new Uint8Array());
  const fields = { request: fingerprint, customer: 'harbour', service: 's', crashed };
  return create(controlMessage.CrashEvidenceSchema, fields);
}

describe('evidence on crashes at a control instance', () => {
  let clock: ManualClock;
  let disk: MemoryDisk;

  beforeEach(() => {
    clock = new ManualClock();
    disk = MemoryDisk.empty();
  });

  async function open(): Promise<EvidenceStore> {
    const files = new RecordFiles(disk, '/evidence', evidenceFormat, clock, silentLog);
    const store = new EvidenceStore(silentLog, silentMetrics, files);
    await store.open();
    return store;
  }

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
    await clock.advance(1);
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
  }

  const crashesOf = (store: EvidenceStore): string[][] => store.since(0).map(({ crashed }) => crashed);

  // Guards against requests that may crash targets again after each loss of power of all.
  it('is kept over several losses of power', async () => {
    for (const start of ['s1', 's2', 's3', 's4', 's5', 's6', 's7']) {
      const store = await open();
      store.record([evidenceOf(1, start)]);
      await settle();
      disk = disk.crash(() => 0);
    }
    expect(crashesOf(await open())).toEqual([['s1', 's2', 's3', 's4', 's5', 's6', 's7']]);
  });

  it('tells followers of what adds something', async () => {
    const store = await open();
    let changes = 0;
    store.onChange(() => (changes += 1));
    store.record([evidenceOf(1, 's1'), evidenceOf(2, 's1')]);
    store.record([evidenceOf(1, 's1')]);
    expect(changes).toBe(1);
    expect(store.lastChangeNumber).toBe(2);
  });

  it('begins a new file now and then, with all that is known', async () => {
    const store = await open();
    store.record([evidenceOf(1, 's1')]);
    for (let round = 0; round < 30; round += 1) {
      const many = Array.from({ length: 500 }, (_, request) => evidenceOf(2 + request, `t${round}`));
      store.record(many);
      await settle();
    }
    await settle();
    expect((await disk.list('/evidence')).length).toBeGreaterThan(1);
    expect(crashesOf(await open())).toContainEqual(['s1']);
  });
});
