import { create } from '@bufbuild/protobuf';
import { silentLog } from '@jasmineroute/core';
import { compactText } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { MemoryDocuments, plainText } from '../fixture/index.js';
import { bucketOf, instanceToMessage } from '../message/index.js';
import { DocumentFeed } from '../server/documentFeed.js';
import type { Instance } from '../view/index.js';
import { EventApplier } from './eventApplier.js';
import { ViewBuilder } from './viewBuilder.js';

function setUp() {
  const builder = new ViewBuilder();
  const applier = new EventApplier(builder, silentLog, () => Promise.resolve());
  const documents = new MemoryDocuments();
  const feed = new DocumentFeed(documents);
  const event = (change: Partial<controlMessage.WatchEvent> = {}): controlMessage.WatchEvent => {
    const changes = feed.since(builder.view().revision, () => true);
    const state = { documents: changes, revision: documents.revision() };
    return Object.assign(create(controlMessage.WatchEventSchema, state), change);
  };
  return { builder, applier, documents, event };
}

const instance = (name: string, change: Partial<Instance> = {}): Instance => ({
  name,
  incarnation: 1n,
  role: 'agent',
  address: 'a:1',
  dataCentre: 'here',
  health: 'alive',
  revision: 0n,
  ...change,
});

describe('EventApplier', () => {
  it('applies document changes as edits', async () => {
    const { builder, applier, documents, event } = setUp();
    documents.accept('desk', plainText('desk', 0));
    await applier.apply(event());
    for (let mark = 1; mark <= 3; mark += 1) {
      documents.accept('desk', plainText('desk', mark));
      const change = event();
      expect(change.documents.map(({ text }) => text)).toEqual(['']);
      expect(await applier.apply(change)).toBe(true);
      expect(builder.view().documents.get('desk')?.text).toBe(compactText(plainText('desk', mark)));
    }
  });

  it('rejects edits that do not match the local document', async () => {
    // A process must not apply a document that no operator accepted. Edits consist of positions, which can be applied
    // to any text, also to one that is not their base.
    const { builder, applier, documents, event } = setUp();
    documents.accept('desk', plainText('desk', 0));
    await applier.apply(event());
    documents.accept('desk', plainText('desk', 1));
    const change = event();
    const altered = (part: Partial<controlMessage.DocumentVersion>) =>
      event({ documents: change.documents.map((document) => ({ ...document, ...part })) });
    const edits = [create(controlMessage.TextEditSchema, { start: 1, removed: 2, inserted: 'x' })];
    expect(await applier.apply(altered({ baseRevision: 9n }))).toBe(false);
    expect(await applier.apply(altered({ edits }))).toBe(false);
    expect(builder.view()).toMatchObject({ revision: 1n });
    expect(await applier.apply(change)).toBe(true);
    expect(builder.view()).toMatchObject({ revision: 2n });
  });

  it('keeps the newer document when a source sends an older one', async () => {
    // A configuration that was accepted and applied must not revert. A source restored from a backup, or one that
    // ignores the watcher's revision, sends documents older than the local ones.
    const { builder, applier, documents, event } = setUp();
    documents.accept('desk', plainText('desk', 0));
    const old = event();
    documents.accept('desk', plainText('desk', 1));
    await applier.apply(event());
    const before = builder.view();
    expect(await applier.apply(old)).toBe(true);
    expect(builder.view()).toBe(before);
    expect(before.revision).toBe(2n);
  });

  it('shows the first snapshot only when it is complete', async () => {
    // Just after a start an entry must not send all requests to the few targets of a partial snapshot. Snapshots arrive
    // in several events, and requests may come in between.
    const { builder, applier, event } = setUp();
    const [a, b] = [instanceToMessage(instance('a')), instanceToMessage(instance('b'))];
    applier.begin();
    await applier.apply(event({ instances: [a], buckets: [bucketOf('a')] }));
    expect(builder.view().instances.size).toBe(0);
    await applier.apply(event({ instances: [b], buckets: [bucketOf('b')], snapshot: true }));
    expect([...builder.view().instances.keys()]).toEqual(['a', 'b']);
  });

  it('never changes a returned view, and shares unchanged parts', async () => {
    const { builder, applier, event } = setUp();
    const message = (name: string, change = {}) => instanceToMessage(instance(name, change));
    await applier.apply(event({ instances: [message('a'), message('b')], snapshot: true }));
    const before = builder.view();
    await applier.apply(event({ instances: [message('b', { health: 'down' })] }));
    expect(before.instances.get('b')?.health).toBe('alive');
    expect(builder.view().instances.get('b')?.health).toBe('down');
    expect(builder.view().instances.get('a')).toBe(before.instances.get('a'));
    expect(builder.view().documents).toBe(before.documents);
  });

  it('keeps its instances when a neighbour that has just started sends an empty view', async () => {
    // Without any control instance, an entry that restarts with an empty folder must not make its neighbour stop
    // serving. Both watch each other; if the empty one sends its snapshot first and missing instances counted as
    // removed, both views would be empty.
    const { builder, applier, event } = setUp();
    const target = instance('lm-1');
    const everything = [bucketOf('lm-1')];
    await applier.apply(
      event({ vouched: true, instances: [instanceToMessage(target)], buckets: everything, snapshot: true }),
    );
    applier.begin();
    expect(await applier.apply(event({ buckets: everything, snapshot: true }))).toBe(true);
    expect(await applier.apply(event({ removed: ['lm-1'] }))).toBe(true);
    expect([...builder.view().instances.keys()]).toEqual(['lm-1']);
    // Once the source is in touch with a quorum, a new snapshot is requested and its removals apply.
    expect(await applier.apply(event({ vouched: true }))).toBe(false);
    applier.begin();
    await applier.apply(event({ vouched: true, buckets: everything, snapshot: true }));
    expect(builder.view().instances.size).toBe(0);
  });
});
