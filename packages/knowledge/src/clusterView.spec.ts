import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { controlMessage, partKey } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { ClusterView } from './clusterView.js';

const content = (number: number): Uint8Array =>
  Buffer.from(JSON.stringify({ number, routes: [], services: [] }));

const event = (change: Partial<controlMessage.FollowEvent>): controlMessage.FollowEvent =>
  Object.assign(create(controlMessage.FollowEventSchema, {}), change);

const named = (version: number, ageMs: number): controlMessage.NamedWeights =>
  create(controlMessage.NamedWeightsSchema, { model: 'm', version: BigInt(version), ageMs });

describe('the view of the cluster', () => {
  it('never goes back to an older configuration', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    knowledge.apply('c1', event({ number: 5n, content: content(5) }), true);
    knowledge.apply('c2', event({ number: 4n, content: content(4) }), true);
    expect(knowledge.table()?.number).toBe(5);
  });

  // Guards against requests of a customer that is isolated by now under the salt which began with that: everybody uses its parts then.
  it('takes the common salt only with the configuration that it belongs to', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    knowledge.apply('c1', event({ number: 5n, content: content(5) }), true);
    knowledge.apply('c1', event({ number: 6n, sharedSince: 6n }), false);
    expect(knowledge.table()).toMatchObject({ number: 5, sharedSince: 0 });
    knowledge.apply('c1', event({ number: 6n, sharedSince: 6n, content: content(6) }), false);
    expect(knowledge.table()).toMatchObject({ number: 6, sharedSince: 6 });
  });

  // Guards against an old salt that comes back by a control instance of an older release, which tells none.
  it('never goes back to an older common salt', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    knowledge.apply('c1', event({ number: 6n, sharedSince: 6n, content: content(6) }), true);
    knowledge.apply('c2', event({ number: 6n }), true);
    expect(knowledge.table()).toMatchObject({ number: 6, sharedSince: 6 });
    knowledge.apply('c2', event({ number: 7n, content: content(7) }), false);
    expect(knowledge.table()).toMatchObject({ number: 7, sharedSince: 6 });
  });

  it('learns the common salt of its configuration from another control instance', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    let changes = 0;
    knowledge.onChange(() => (changes += 1));
    knowledge.apply('c1', event({ number: 6n, content: content(6) }), true);
    knowledge.apply('c2', event({ number: 6n, sharedSince: 6n }), true);
    knowledge.apply('c2', event({ number: 6n, sharedSince: 6n }), false);
    expect(knowledge.table()).toMatchObject({ number: 6, sharedSince: 6 });
    expect(changes).toBe(2);
  });

  it('is confirmed only by an instance in contact with a quorum', () => {
    // Guards against an entry that serves by an outdated configuration, as it starts beside a control instance that is cut
    // off from the others.
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    knowledge.apply('c1', event({ vouched: false, number: 5n, content: content(5) }), true);
    expect(knowledge.confirmed()).toBe(false);
    knowledge.apply('c2', event({ vouched: true, number: 6n, content: content(6) }), true);
    expect(knowledge.confirmed()).toBe(true);
  });

  it('counts weights as stale from the first request of a newer version on', async () => {
    const clock = new ManualClock();
    const knowledge = new ClusterView(clock, silentLog);
    await clock.advance(10_000);
    knowledge.apply('c1', event({ weights: [named(2, 100)] }), true);
    await clock.advance(5_000);
    knowledge.apply('c1', event({ weights: [named(2, 5_100), named(3, 0)] }), false);
    expect(knowledge.weightsOf('m')).toEqual({ version: 3, namedAt: 15_000 });
    expect(knowledge.staleSince('m', 1)).toBe(9_900);
    expect(knowledge.staleSince('m', 2)).toBe(15_000);
    expect(knowledge.staleSince('m', 3)).toBeUndefined();
  });

  it('holds what stores keep while the reporting control instance is followed', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    const part = { salt: 's', model: 'm', part: 'a' };
    const reported = (change: Partial<controlMessage.KeptChanges>) =>
      event({ kept: Object.assign(create(controlMessage.KeptChangesSchema, {}), change) });
    expect(knowledge.isKept('store', part)).toBeUndefined();
    knowledge.apply('c1', reported({ whole: true, added: [partKey('store', part), 7] }), true);
    expect(knowledge.isKept('store', part)).toBe(true);
    expect(knowledge.isKept('other', part)).toBe(false);
    knowledge.apply('c1', reported({ dropped: [partKey('store', part)] }), false);
    expect(knowledge.isKept('store', part)).toBe(false);
    knowledge.lost('c1');
    expect(knowledge.isKept('store', part)).toBeUndefined();
  });

  it('merges the caches of targets that several instances report', () => {
    const knowledge = new ClusterView(new ManualClock(), silentLog);
    const part = { salt: 's', model: 'm', part: 'a' };
    const reported = (address: string) =>
      event({
        cached: create(controlMessage.KeptChangesSchema, { whole: true, added: [partKey(address, part)] }),
      });
    knowledge.apply('c1', reported('t1'), true);
    knowledge.apply('c2', reported('t2'), true);
    expect(['t1', 't2', 't3'].map((address) => knowledge.isCached(address, part))).toEqual([
      true,
      true,
      false,
    ]);
    knowledge.lost('c2');
    expect(knowledge.isCached('t2', part)).toBe(false);
  });
});
