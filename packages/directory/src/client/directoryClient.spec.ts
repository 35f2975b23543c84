import { once } from 'node:events';
import { create } from '@bufbuild/protobuf';
import { compactText } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { directoryEvents } from '../events.js';
import { MemoryDocuments, RecordingLog, Scene, plainText } from '../fixture/index.js';
import type { View } from '../view/index.js';

const scene = new Scene();

afterEach(() => scene.close());

const until = (check: () => void): Promise<void> => vi.waitFor(check, { timeout: 20_000, interval: 10 });

const textOf = (view: View, service = 'desk'): string | undefined => view.documents.get(service)?.text;

describe('DirectoryClient', () => {
  it('receives documents and instances, and their changes', async () => {
    const c1 = await scene.control();
    c1.documents.accept('desk', plainText('desk', 1));
    const entry = await scene.client([c1.address]);
    const agent = await scene.client([c1.address], { name: 'a1', role: 'agent' });
    await until(() => {
      expect(entry.view().documents.get('desk')?.version).toBe(1n);
      expect(entry.view().instances.get('a1')).toMatchObject({
        health: 'alive',
        target: { service: 'desk' },
      });
    });
    const before = entry.view();
    c1.documents.accept('desk', plainText('desk', 2));
    await until(() => {
      expect([entry.view().revision, agent.view().revision]).toEqual([2n, 2n]);
    });
    expect(entry.view().vouched).toBe(true);
    expect([before.revision, textOf(before)]).toEqual([1n, compactText(plainText('desk', 1))]);
    expect(agent.view().instances.size).toBe(0);
  });

  it('leaves a connection that went silent', async () => {
    // An entry must not stay on an old document without an error. A middlebox can drop the state of a connection:
    // the watch goes silent, neither end gets an error, and new connections work.
    const { control: c1, link } = await scene.linkedControl();
    c1.documents.accept('desk', plainText('desk', 1));
    const entry = await scene.client([link.address]);
    await until(() => {
      expect(entry.view().revision).toBe(1n);
    });
    link.blackHole();
    c1.documents.accept('desk', plainText('desk', 2));
    const silentAt = Date.now();
    await until(() => {
      expect(entry.view().revision).toBe(2n);
    });
    expect(Date.now() - silentAt).toBeLessThan(5_000);
  });

  it('leaves a watch stream that hangs on a working connection', async () => {
    // An entry must not stay on an old document while its connection answers every ping. The source's stream for one
    // watcher can hang while the process and the connection work, and transport keep-alive does not detect that.
    const c1 = await scene.control();
    c1.documents.accept('desk', plainText('desk', 1));
    c1.documents.accept('desk', plainText('desk', 2));
    const hanging = await scene.server((router) => {
      router.service(controlMessage.Directory, {
        watch: async function* (_, { signal }) {
          yield create(controlMessage.WatchEventSchema, { revision: 1n, vouched: true, snapshot: true });
          await once(signal, 'abort');
        },
      });
    });
    const link = await scene.link(c1.address);
    await link.refuse();
    const entry = await scene.client([hanging, link.address]);
    await until(() => {
      expect(entry.view().revision).toBe(1n);
    });
    await link.admit();
    await until(() => {
      expect(entry.view().revision).toBe(2n);
    });
  });

  it('leaves a control instance that has lost its quorum', async () => {
    // Watchers must not miss accepted documents because their control instance is cut off from its quorum but not from
    // them. It goes on serving its old state and sending keep-alive events.
    const [c1, c2] = [await scene.control('c1'), await scene.control('c2')];
    for (const { documents } of [c1, c2]) documents.accept('desk', plainText('desk', 1));
    c2.documents.setVouched(false);
    const log = new RecordingLog();
    const entry = await scene.client([c1.address, c2.address], { log });
    await until(() => {
      expect(entry.view().vouched).toBe(true);
    });
    c1.documents.setVouched(false);
    c2.documents.setVouched(true);
    c2.documents.accept('desk', plainText('desk', 2));
    await until(() => {
      expect(entry.view()).toMatchObject({ revision: 2n, vouched: true });
    });
    expect(log.seen).toContain(directoryEvents.watchWithoutQuorum);
  });

  it('never goes back to an older document, whatever a source sends', async () => {
    // A configuration that was accepted and applied must not revert. After the loss of the watched instance the next
    // source may lag behind or have been restored from an old disk, and its snapshot looks like any other.
    const { control: c1, link: link1 } = await scene.linkedControl('c1');
    const { control: c2, link: link2 } = await scene.linkedControl('c2');
    for (const mark of [1, 2, 3]) c1.documents.accept('desk', plainText('desk', mark));
    c2.documents.accept('desk', plainText('desk', 'old'));
    c2.documents.accept('other', plainText('other', 1));
    link2.partition();
    const folder = await scene.folder();
    const entry = await scene.client([link1.address, link2.address], { folder });
    await until(() => {
      expect(entry.view().revision).toBe(3n);
    });
    link1.partition();
    link2.clear();
    await until(() => {
      expect(entry.view().vouched).toBe(false);
    });
    await until(() => {
      expect(entry.view().vouched).toBe(true);
    });
    expect([entry.view().revision, textOf(entry.view())]).toEqual([3n, compactText(plainText('desk', 3))]);
    await entry.stop();
    const restarted = await scene.client([link2.address], { folder, incarnation: 2n });
    await until(() => {
      expect(restarted.view().vouched).toBe(true);
    });
    expect([restarted.view().revision, textOf(restarted.view())]).toEqual([
      3n,
      compactText(plainText('desk', 3)),
    ]);
  });

  it('catches up after a thousand missed changes without losing those that follow', async () => {
    // After a long partition a process must not hold a mix of old and new documents. It misses 1,000 changes, and more
    // arrive while it catches up; the snapshot and the later changes come from different sources.
    const { control: c1, link } = await scene.linkedControl();
    const services = ['s0', 's1', 's2', 's3', 's4'];
    const accept = (mark: number): void => {
      const service = services[mark % 5] ?? '';
      c1.documents.accept(service, plainText(service, mark));
    };
    for (let mark = 0; mark < 5; mark += 1) accept(mark);
    const entry = await scene.client([link.address]);
    await until(() => {
      expect(entry.view().revision).toBe(5n);
    });
    link.partition();
    for (let mark = 5; mark < 1_005; mark += 1) accept(mark);
    link.clear();
    let mark = 1_005;
    await until(() => {
      if (mark < 1_105) accept((mark += 1));
      expect(entry.view().revision).toBe(c1.documents.revision());
    });
    for (; mark < 1_110; mark += 1) accept(mark + 1);
    await until(() => {
      expect(entry.view().revision).toBe(c1.documents.revision());
    });
    for (const { service, text } of c1.documents.since(0n))
      expect(textOf(entry.view(), service)).toBe(compactText(text));
  });

  it('removes the instances that left while it was cut off', async () => {
    // An entry must not send requests to a target that left while the entry was cut off. The control instances have
    // removed the target by then, so no event mentions it when the entry returns with its old view.
    const { control: c1, link } = await scene.linkedControl();
    const entry = await scene.client([link.address]);
    await until(() => {
      expect(entry.view().vouched).toBe(true);
    });
    const c2 = await scene.control('c2');
    for (const name of ['a1', 'a2']) await scene.client([c1.address], { name, role: 'agent' });
    await scene.client([c2.address], { name: 'a2', role: 'agent' });
    await until(() => {
      expect([...entry.view().instances.keys()]).toEqual(expect.arrayContaining(['a1', 'a2', 'c1', 'e1']));
    });
    link.partition();
    link.redirect(c2.address);
    link.clear();
    await until(() => {
      expect([...entry.view().instances.keys()].sort()).toEqual(['a2', 'c2', 'e1']);
    });
  });

  it('tells an older process that a newer one uses its name', async () => {
    // Two processes must not alternate under one name in the list of instances. The platform may replace a process that
    // it takes for failed while the old one goes on sending heartbeats.
    const c1 = await scene.control();
    const superseded = vi.fn();
    await scene.client([c1.address], {
      name: 'a1',
      role: 'agent',
      incarnation: 1n,
      onSuperseded: superseded,
    });
    const entry = await scene.client([c1.address]);
    await scene.client([c1.address], { name: 'a1', role: 'agent', incarnation: 2n });
    await until(() => {
      expect(superseded).toHaveBeenCalledOnce();
    });
    await until(() => {
      expect(entry.view().instances.get('a1')).toMatchObject({ incarnation: 2n, health: 'alive' });
    });
  });

  it('announces leaving to entries that watch another control instance', async () => {
    // A leaving target must not go on receiving new requests. It reports to one control instance while an entry watches
    // another, so the report has to pass between control instances.
    const controls: { name: string; address: string }[] = [];
    const [c1, c2] = [await scene.control('c1', { controls }), await scene.control('c2', { controls })];
    const agent = await scene.client([c1.address], { name: 'a1', role: 'agent' });
    const entry = await scene.client([c2.address]);
    await until(() => {
      expect(entry.view().instances.get('a1')?.health).toBe('alive');
    });
    const leftAt = Date.now();
    await agent.leave();
    await until(() => {
      expect(entry.view().instances.get('a1')?.health).toBe('leaving');
    });
    expect(Date.now() - leftAt).toBeLessThan(2_000);
  });

  it('keeps targets listed when the control instance that receives their heartbeats is killed', async () => {
    // The targets of a killed control instance must not disappear for some seconds. They send heartbeats to the next
    // one within a second or two; until then the others have only the reports of the killed one.
    const controls: { name: string; address: string }[] = [];
    const [c1, c2] = [await scene.control('c1', { controls }), await scene.control('c2', { controls })];
    const link = await scene.link(c2.address);
    await link.refuse();
    const entry = await scene.client([c2.address]);
    const names = ['a1', 'a2', 'a3'];
    for (const name of names) await scene.client([c1.address, link.address], { name, role: 'agent' });
    await until(() => {
      expect([...c1.membership.directMembers()]).toEqual(expect.arrayContaining(names));
      for (const name of names) expect(entry.view().instances.get(name)?.health).toBe('alive');
    });
    await link.admit();
    const seen = new Set<string | undefined>();
    entry.onChange(({ instances }) => {
      for (const name of names) seen.add(instances.get(name)?.health);
    });
    await c1.stop();
    await until(() => {
      for (const name of names) expect(c2.membership.current().get(name)?.health).toBe('alive');
      expect([...c2.membership.directMembers()]).toEqual(expect.arrayContaining(names));
    });
    expect([...seen].filter((health) => health !== 'alive')).toEqual([]);
  });

  it('keeps the previous version of a document that it cannot read, and shows it by the revision', async () => {
    const documents = new MemoryDocuments();
    const c1 = await scene.control('c1', { documents });
    documents.accept('desk', plainText('desk', 1));
    const entry = await scene.client([c1.address]);
    await until(() => {
      expect(entry.view().revision).toBe(1n);
    });
    documents.accept('desk', 'kind: of a later release\n');
    documents.accept('other', plainText('other', 1));
    await until(() => {
      expect(entry.view().documents.has('other')).toBe(true);
    });
    expect([entry.view().revision, textOf(entry.view())]).toEqual([1n, compactText(plainText('desk', 1))]);
  });
});
