import { readFile, readdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { directoryEvents } from '../events.js';
import { EventRecord, Scene, plainText } from '../fixture/index.js';

const scene = new Scene();

afterEach(() => scene.close());

const until = (check: () => void): Promise<void> => vi.waitFor(check, { timeout: 20_000, interval: 10 });

/** An entry that has a view of one document and one target, stopped; its folder. */
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
  it('starts from what it kept while control is out of reach', async () => {
    // Symptom: after a power cut in one data centre its entries refuse all calls until control is back.
    // Sequence: all restart; no control instance can be reached.
    // Cause: documents and targets were known to memory only.
    const folder = await stoppedEntry();
    const restarted = await scene.client(['127.0.0.1:1'], { folder, incarnation: 2n });
    expect(restarted.view()).toMatchObject({ revision: 1n, vouched: false });
    expect(restarted.view().documents.get('desk')?.document.kind).toBe('plain');
    expect(restarted.view().instances.get('a1')?.target?.service).toBe('desk');
  });

  it('keeps a document before it is in force', async () => {
    // Symptom: a process that restarts right after a change runs on the older document.
    // Sequence: the change is in force; the process is killed at that moment; control is out of reach.
    // Cause: the file was written after.
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

  it('passes over damaged files and says so', async () => {
    // Symptom: a process that does not start, or starts with half of a document.
    // Sequence: a bit of each kept file flips, or its end is lost.
    // Cause: disks and crashes.
    const folder = await stoppedEntry();
    for (const name of await readdir(folder)) {
      const bytes = await readFile(join(folder, name));
      bytes[bytes.length - 3] = (bytes[bytes.length - 3] ?? 0) ^ 1;
      await writeFile(join(folder, name), bytes);
    }
    const log = new EventRecord();
    const restarted = await scene.client(['127.0.0.1:1'], { folder, log, incarnation: 2n });
    expect(log.seen.filter((kind) => kind === directoryEvents.stateFileIgnored)).toHaveLength(2);
    expect(restarted.view().documents.size).toBe(0);
  });

  it('learns from a neighbour while no control instance answers', async () => {
    // Symptom: an agent without a disk of use to it serves nothing after a restart.
    // Sequence: control is out of reach; an entry that the agent was told of is there.
    // Cause: only control instances were asked.
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
