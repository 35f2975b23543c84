/** Record files on a disk that hangs. */
import { MemoryDisk } from '@jasmineroute/coordination';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { RecordFiles } from './recordFiles.js';
import type { RecordFormat } from './recordFiles.js';

const format: RecordFormat<string> = {
  prefix: 'records-',
  encode: (records) => Buffer.from(JSON.stringify(records)),
  decode: (batch) => JSON.parse(Buffer.from(batch).toString()) as string[],
  syncDelayMs: 100,
  keptFiles: 1,
};

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
};

async function isDoneOnHangingDisk(
  action: (files: RecordFiles<string>) => Promise<unknown>,
): Promise<boolean> {
  const clock = new ManualClock();
  const memory = MemoryDisk.empty();
  const files = new RecordFiles(memory, '/records', format, clock, silentLog);
  await files.load();
  await files.store(['a']);
  memory.hang();
  let isDone = false;
  void action(files).then(() => (isDone = true));
  for (let second = 0; second < 60; second += 1) {
    await settle();
    await clock.advance(1_000);
  }
  await settle();
  return isDone;
}

// Guards against departures whose copies wait for ever for a disk that hangs.
it('who waits for a record learns within a minute that the disk does not answer', async () => {
  expect(await isDoneOnHangingDisk((files) => files.store(['b']))).toBe(true);
});

// Guards against a planned stop of a control instance that waits for its records before it hands over.
it('closing ends within a minute although the disk does not answer', async () => {
  expect(
    await isDoneOnHangingDisk((files) => {
      void files.store(['b']);
      return files.close();
    }),
  ).toBe(true);
});
