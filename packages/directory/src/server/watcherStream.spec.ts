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
  it('limits the rate of instance events while many join, and sends documents at once', async () => {
    // After a power loss control instances must become responsive again. Thousands of processes start together, each is
    // a change for every other one, and sending the changes one by one takes more processor time than there is.
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

  it('sends at once what changed while an event was being sent', async () => {
    // A change must not reach some process a second later than others. A document accepted while the stream waits for
    // its reader raises the change signal when the stream does not wait for it.
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

  it('sends keep-alive events to watchers that wait for their snapshot', async () => {
    // Many watchers that connect at once must all be served. Without events while they wait, each would time out before
    // its snapshot, as with a failed instance, and connect again.
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

  it('does not let a watcher that stops reading block the others', async () => {
    // All watchers must get their snapshot even if some stop reading in the middle of theirs and therefore never
    // release their permits.
    const { clock, comparisons, watch } = setUp(1);
    comparisons.acquire();
    const seen = watch();
    for (let step = 0; step < 8; step += 1) await clock.advance(500);
    expect(seen.some(({ snapshot }) => snapshot)).toBe(true);
  });

  it('sends only differences, and only of the requested services', async () => {
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
