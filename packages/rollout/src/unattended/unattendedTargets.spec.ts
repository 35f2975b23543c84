import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { ClusterView } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';
import { UnattendedTargets } from './unattendedTargets.js';

describe('targets without a process beside them', () => {
  let clock: ManualClock;
  let knowledge: ClusterView;
  /** Targets that the process beside them reports. */
  let reported: Set<string>;
  let leads: boolean;
  let isInContact: boolean;
  /** Number of updaters that were stopped. */
  let stopped: number;
  /** Address that makes each call to it throw. */
  let uncallable: string;
  /** Addresses of targets that were given an order. */
  let ordered: string[];
  let unattended: UnattendedTargets;

  const portOf = (address: string): TargetPort => ({
    report: () =>
      Promise.resolve(
        ok({ weights: new Map([['m', 1]]), busy: false, orders: 0, waiting: 0, running: 0, unstarted: 0 }),
      ),
    identity: () => Promise.resolve(err(fault('target-unreachable', 'not asked'))),
    cacheNews: () => Promise.resolve(undefined),
    order: () => {
      ordered.push(address);
      return Promise.resolve(ok('accepted'));
    },
  });

  const targetAt = (address: string): TargetPort => {
    if (address === uncallable) throw new Error('can not be called');
    return portOf(address);
  };

  beforeEach(() => {
    uncallable = '';
    clock = new ManualClock();
    knowledge = new ClusterView(clock, silentLog);
    reported = new Set();
    ordered = [];
    leads = true;
    isInContact = true;
    stopped = 0;
    const targets = ['t1', 't2'].map((id, at) => {
      const weights = [{ model: 'm', version: 1n }];
      const announcement = controlMessage.Announcement.READY;
      const place = { service: 's', address: `10.0.0.${at + 1}:80`, dataCentre: 'here', capacity: 4 };
      return { id, ...place, announcement, weights, sequence: 1n };
    });
    const weights = [{ model: 'm', version: 2n, ageMs: 0 }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { targets, weights }), true);
    let fence = 0n;
    const fences = new Map<string, bigint>();
    unattended = new UnattendedTargets({
      name: 'c1',
      incarnation: 1n,
      weightsLimitMs: 8_000,
      orderGapMs: 3_000,
      knowledge,
      targetAt,
      turns: {
        take: ({ name = '' }) => {
          fence += 1n;
          fences.set(name, fences.get(name) ?? fence);
          return Promise.resolve(ok({ granted: true, fence: fences.get(name) ?? 0n }));
        },
        release: ({ name }) => {
          fences.delete(name);
          return Promise.resolve(ok());
        },
      },
      observer: { tell: () => Promise.resolve() },
      isAttended: (id) => reported.has(id),
      acts: () => leads && isInContact,
      leads: () => leads,
      clock,
      log: {
        ...silentLog,
        event: ({ id }) => {
          if (id === rolloutEvents.attended.id) stopped += 1;
        },
      },
      metrics: silentMetrics,
    });
  });

  /** Runs and advances the clock by `ms`. */
  async function run(ms: number): Promise<void> {
    void unattended.run();
    for (let step = 0; step < ms; step += 50) await clock.advance(50);
  }

  it('get new weights, and no others do', async () => {
    reported.add('t1');
    await run(6_000);
    expect(new Set(ordered)).toEqual(new Set(['10.0.0.2:80']));
    unattended.stop();
  });

  // Guards against control instances that end in turn as they lead, as the address of one target can't be called.
  it('get new weights beside one that can not be called', async () => {
    uncallable = '10.0.0.1:80';
    await run(6_000);
    expect(new Set(ordered)).toEqual(new Set(['10.0.0.2:80']));
    unattended.stop();
  });

  // Guards against updates that all begin anew each time that a busy leader hears no quorum for a moment.
  it('keep their updaters while the leader is out of contact for a moment', async () => {
    await run(4_000);
    expect(ordered.length).toBeGreaterThan(0);
    isInContact = false;
    for (let step = 0; step < 1_000; step += 50) await clock.advance(50);
    isInContact = true;
    for (let step = 0; step < 500; step += 50) await clock.advance(50);
    expect(stopped).toBe(0);
    unattended.stop();
  });

  it('get no order while the first report of a process that has just started may be pending', async () => {
    // Guards against alternate orders of control instances and the processes beside targets after a loss of power of all:
    // control is back first, and has no report of any target yet.
    await run(2_500);
    expect(ordered).toEqual([]);
    unattended.stop();
  });

  it('get no order from an instance that does not lead, or once their process is back', async () => {
    leads = false;
    await run(6_000);
    expect(ordered).toEqual([]);
    leads = true;
    for (let step = 0; step < 2_000; step += 50) await clock.advance(50);
    expect(ordered.length).toBeGreaterThan(0);
    reported.add('t1').add('t2');
    await clock.advance(300);
    await clock.advance(2_000);
    const orders = ordered.length;
    for (let step = 0; step < 6_000; step += 50) await clock.advance(50);
    expect(ordered.length).toBe(orders);
    unattended.stop();
  });
});
