import { readFile, readdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { directoryEvents } from '../events.js';
import { RecordingLog, Scene, plainText } from '../fixture/index.js';

const scene = new Scene();

afterEach(() => scene.close());

const until = (check: () => void): Promise<void> => vi.waitFor(check, { timeout: 20_000, interval: 10 });

/** Starts an entry, waits until its view has one document and one target, and stops it. Returns its folder. */
async function stoppedEntry(): Promise<string> {
  const folder = await scene.folder();
  const c1 = await scene.control();
  c1.documents.accept('desk', plainText('desk', 1));
  await scene.client([c1.address], { name: 'a1', role: 'agent' });
  const entry = await scene.client([c1.address], { folder });
  await until(() => {
    expect(entry.view().instances.has('a1')).toBe(true);
    expect(entry.view().revision).toBe(1n);
  });
  await entry.stop();
  await c1.stop();
  return folder;
}

describe('restart', () => {
  it('starts with the saved view while no control instance is reachable', async () => {
    // After a power loss in one data centre its entries must not reject all calls until a control instance is back.
    // All processes restart, so documents and targets held only in memory would be lost.
    const folder = await stoppedEntry();
    const restarted = await scene.client(['127.0.0.1:1'], { folder, incarnation: 2n });
    expect(restarted.view()).toMatchObject({ revision: 1n, vouched: false });
    expect(restarted.view().documents.get('desk')?.document.kind).toBe('plain');
    expect(restarted.view().instances.get('a1')?.target?.service).toBe('desk');
  });

  it('saves a document before it applies it', async () => {
    // A process that is killed right after it applied a change must not restart with the older document while no
    // control instance is reachable, as it would if the file were written afterwards.
    const folder = await scene.folder();
    const c1 = await scene.control();
    const entry = await scene.client([c1.address], { folder });
    const kept: Promise<Buffer>[] = [];
    entry.onChange(({ revision }) => {
      if (revision === 1n) kept.push(readFile(join(folder, 'directory-documents.kept')));
    });
    c1.documents.accept('desk', plainText('desk', 'now-kept'));
    await until(() => {
      expect(entry.view().revision).toBe(1n);
    });
    expect((await kept[0])?.includes('now-kept')).toBe(true);
  });

  it('ignores damaged files and logs it', async () => {
    // A process must not fail to start, or start with part of a document, when a bit of a saved file flips or its end is
    // lost because of a disk fault or a crash.
    const folder = await stoppedEntry();
    for (const name of await readdir(folder)) {
      const bytes = await readFile(join(folder, name));
      bytes[bytes.length - 3] = (bytes[bytes.length - 3] ?? 0) ^ 1;
      await writeFile(join(folder, name), bytes);
    }
    const log = new RecordingLog();
    const restarted = await scene.client(['127.0.0.1:1'], { folder, log, incarnation: 2n });
    expect(log.seen.filter((kind) => kind === directoryEvents.stateFileIgnored)).toHaveLength(2);
    expect(restarted.view().documents.size).toBe(0);
  });

  it('watches a neighbour while no control instance answers', async () => {
    // An agent that restarts with outdated files must still get the current documents while no control instance is
    // reachable, from an entry whose address it has saved.
    const c1 = await scene.control();
    c1.documents.accept('desk', plainText('desk', 1));
    const neighbour = await scene.servingEntry([c1.address], { name: 'e2' });
    await until(() => {
      expect(c1.membership.current().get('e2')?.health).toBe('alive');
    });
    const folder = await scene.folder();
    const agent = await scene.client([c1.address], { name: 'a1', role: 'agent', folder });
    await until(() => {
      expect(agent.view().revision).toBe(1n);
    });
    c1.documents.accept('desk', plainText('desk', 2));
    await until(() => {
      expect([agent.view().revision, neighbour.client.view().revision]).toEqual([2n, 2n]);
    });
    await agent.stop();
    c1.documents.accept('desk', plainText('desk', 3));
    await until(() => {
      expect(neighbour.client.view().revision).toBe(3n);
    });
    await c1.stop();
    const restarted = await scene.client([c1.address], {
      name: 'a1',
      role: 'agent',
      folder,
      incarnation: 2n,
    });
    await until(() => {
      expect(restarted.view()).toMatchObject({ revision: 3n, vouched: false });
    });
  });
});
