import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { MemoryDocuments, MemoryInstances, agentInstance, plainText } from '../fixture/index.js';
import { ChangeSignal } from './changeSignal.js';
import { DocumentFeed } from './documentFeed.js';
import { InstanceFeed } from './instanceFeed.js';
import { Semaphore } from './semaphore.js';
import { WatcherStream } from './watcherStream.js';

type WatchEvent = controlMessage.WatchEvent;

function setUp(permits = 1) {
  const clock = new ManualClock();
  const [documents, instances] = [new MemoryDocuments(), new MemoryInstances()];
  const changed = new ChangeSignal();
  const feed = new InstanceFeed(instances);
  const wake = (): void => {
    changed.raise();
  };
  documents.onChange(wake);
  instances.onChange(wake);
  const comparisons = new Semaphore(permits, clock);
  const hub = { documents: new DocumentFeed(documents), instances: feed, changed, comparisons, clock };
  const ended = new AbortController();
  const open = (request: Partial<controlMessage.WatchRequest> = {}): AsyncGenerator<WatchEvent> => {
    const message = Object.assign(create(controlMessage.WatchRequestSchema, { instances: true }), request);
    return new WatcherStream(hub, message).events(ended.signal);
  };
  const watch = (request: Partial<controlMessage.WatchRequest> = {}): WatchEvent[] => {
    const seen: WatchEvent[] = [];
    void (async () => {
      for await (const event of open(request)) seen.push(event);
    })();
    return seen;
  };
  return { clock, documents, instances, comparisons, open, watch };
}

describe('WatcherStream', () => {
  it('bounds how often it tells of instances while many come, and of documents at once', async () => {
    // Symptom: after a power cut control answers nobody, and it does not get better.
    // Sequence: thousands of processes start together; each is news to each other one.
    // Cause: telling of them one by one takes more time than there is.
    const { clock, documents, instances, watch } = setUp();
    const seen = watch();
    await clock.advance(1_000);
    const before = seen.length;
    for (let index = 0; index < 100; index += 1) {
      instances.set(agentInstance(index));
      await clock.advance(10);
    }
    expect(seen.length - before).toBeLessThanOrEqual(5);
    await clock.advance(400);
    expect(new Set(seen.flatMap((event) => event.instances.map(({ name }) => name))).size).toBe(100);
    instances.set(agentInstance(0, 'suspect'));
    await clock.advance(40);
    documents.accept('desk', plainText('desk', 1));
    await clock.advance(40);
    expect(seen.at(-1)?.revision).toBe(1n);
  });

  it('tells at once of what changed while an event was on its way', async () => {
    // Symptom: now and then a change is in force on some process a second later than on others.
    // Sequence: a document is accepted while the stream waits for its reader.
    // Cause: the stream waits for the next change only once the reader is done.
    const { clock, documents, open } = setUp();
    const stream = open();
    const nextWithin50Ms = async (): Promise<WatchEvent | undefined> => {
      const seen: WatchEvent[] = [];
      void stream.next().then(({ value }) => seen.push(value as WatchEvent));
      for (let step = 0; step < 5; step += 1) await clock.advance(10);
      return seen[0];
    };
    expect(await nextWithin50Ms()).toMatchObject({ snapshot: true });
    documents.accept('desk', plainText('desk', 1));
    expect(await nextWithin50Ms()).toMatchObject({ revision: 1n });
  });

  it('keeps heartbeats up for watchers that wait to be brought up to date', async () => {
    // Symptom: a herd of watchers comes back again and again, and none is ever served.
    // Sequence: all come at one time; each gives up before its turn and starts over.
    // Cause: those that wait hear nothing, as from a dead instance.
    const { clock, instances, comparisons, watch } = setUp(1);
    instances.set(agentInstance(1));
    const release = comparisons.acquire();
    const seen = watch();
    for (let step = 0; step < 5; step += 1) await clock.advance(500);
    expect(seen.length).toBeGreaterThanOrEqual(3);
    expect(seen.some(({ snapshot }) => snapshot)).toBe(false);
    release?.();
    await clock.advance(50);
    expect(seen.at(-1)).toMatchObject({ snapshot: true, instances: [{ name: 'agent-1' }] });
  });

  it('does not let a watcher that reads nothing hold up the others', async () => {
    // Symptom: no watcher gets its first view any more.
    // Sequence: some watchers stop reading in the middle of theirs.
    // Cause: each holds a permit until it has read all.
    const { clock, comparisons, watch } = setUp(1);
    comparisons.acquire();
    const seen = watch();
    for (let step = 0; step < 8; step += 1) await clock.advance(500);
    expect(seen.some(({ snapshot }) => snapshot)).toBe(true);
  });

  it('sends only what differs, and only what is asked for', async () => {
    const { clock, documents, instances, watch } = setUp(4);
    for (let index = 0; index < 2_000; index += 1) instances.set(agentInstance(index));
    for (const service of ['service-1', 'service-2', 'control'])
      documents.accept(service, plainText(service, 1));
    const [all, one, none] = [watch(), watch({ services: ['service-1'] }), watch({ instances: false })];
    await clock.advance(0);
    expect(all.length).toBeGreaterThan(2);
    expect(all.flatMap(({ instances: some }) => some)).toHaveLength(2_000);
    expect(new Set(all.flatMap(({ buckets }) => buckets)).size).toBe(64);
    expect(new Set(one.flatMap((event) => event.instances.map(({ target }) => target?.service)))).toEqual(
      new Set(['service-1']),
    );
    expect(one[0]?.documents.map(({ service }) => service)).toEqual(['service-1', 'control']);
    expect(none.flatMap(({ instances: some }) => some)).toEqual([]);
  });
});
