import { create } from '@bufbuild/protobuf';
import { ManualClock, StallWatch, silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { REMOVAL_DELAY_MS, TargetRegistry } from './targetRegistry.js';
import type { Heartbeat } from './targetRegistry.js';

const HEARTBEAT_MS = 1_000;
const { Announcement } = controlMessage;

const heartbeat = (sequence: number, change: Partial<Heartbeat> = {}): Heartbeat => ({
  name: 't1',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'here',
  capacity: 4,
  draining: false,
  sequence,
  coldMs: 0,
  weights: [{ model: 'm', version: 1 }],
  ...change,
});

describe('the target registry', () => {
  let clock: ManualClock;
  let registry: TargetRegistry;

  beforeEach(() => {
    clock = new ManualClock();
    registry = new TargetRegistry(clock, silentLog, HEARTBEAT_MS);
  });

  const state = (id = 't1'): controlMessage.Announcement | undefined =>
    registry.since(0).find((target) => target.id === id)?.announcement;

  const observe = (observation: number, paused: boolean, version = 1): boolean =>
    registry.observe({
      targetId: 't1',
      observation: BigInt(observation),
      paused,
      weights: [{ model: 'm', version: BigInt(version), ageMs: 0 }],
    } as controlMessage.ObserveRequest);

  it('sends followers only changes', () => {
    registry.beat(heartbeat(1));
    const position = registry.lastChangeNumber();
    registry.beat(heartbeat(2));
    expect(registry.since(position)).toEqual([]);
    registry.beat(heartbeat(3, { draining: true }));
    expect(registry.since(position).map(({ announcement }) => announcement)).toEqual([Announcement.DRAINING]);
  });

  it('relays the software version, and keeps it when the process beside the target announces it without', () => {
    registry.beat(heartbeat(1, { softwareVersion: 'v1.1' }));
    registry.beat(heartbeat(2));
    expect(registry.since(0).map(({ softwareVersion }) => softwareVersion)).toEqual(['v1.1']);
  });

  it('ignores a heartbeat that arrives after a newer one', () => {
    // Guards against new work for a draining target: an older heartbeat is delayed and arrives after the newer one.
    registry.beat(heartbeat(5, { draining: true }));
    registry.beat(heartbeat(4));
    expect(state()).toBe(Announcement.DRAINING);
  });

  it('keeps a leave, also of an unknown target', () => {
    registry.leave({ name: 't1' });
    registry.beat(heartbeat(9));
    expect(state()).toBe(Announcement.LEFT);
  });

  it('accepts a target that restarts under its id, and ends the previous start', () => {
    // Guards against a target that gets no work for minutes after a crash: it restarts under its id with heartbeat 1, and its
    // heartbeats count as late ones of the previous start, or as those of a target that left.
    registry.beat(heartbeat(40, { born: 1_000 }));
    registry.beat(heartbeat(1, { born: 2_000 }));
    expect(state('t1/1000')).toBe(Announcement.LEFT);
    expect(state('t1/2000')).toBe(Announcement.READY);
    registry.leave({ name: 't1', born: 2_000 });
    registry.beat(heartbeat(1, { born: 3_000 }));
    expect(state('t1/2000')).toBe(Announcement.LEFT);
    expect(state('t1/3000')).toBe(Announcement.READY);
  });

  it('ignores late calls of an older start', () => {
    // Guards against no work for a target that has just started, or work for a dead one: a delayed heartbeat or leave of the
    // previous start arrives after those of the new start.
    registry.beat(heartbeat(40, { born: 1_000 }));
    registry.beat(heartbeat(1, { born: 2_000 }));
    const position = registry.lastChangeNumber();
    registry.beat(heartbeat(41, { born: 1_000 }));
    registry.beat(heartbeat(42));
    registry.leave({ name: 't1', born: 1_000 });
    expect(registry.since(position)).toEqual([]);
    expect(state('t1/2000')).toBe(Announcement.READY);
  });

  // Guards against a heartbeat that waited here while the instance stood still, and passes for one of the start that answers now.
  it('tells that a start called before a stall, when its heartbeat is read after that', async () => {
    const stalls = new StallWatch(clock);
    registry = new TargetRegistry(clock, silentLog, HEARTBEAT_MS, () => stalls.earliestArrival());
    const heardMs = (): (number | undefined)[] => registry.heardStarts(['t1']).map((heard) => heard.heardMs);
    registry.beat(heartbeat(1, { born: 1_000 }));
    await clock.advance(3_000);
    registry.beat(heartbeat(2, { born: 1_000 }));
    expect(heardMs()).toEqual([3_000]);
    await stalls.waitUntilCaughtUp();
    registry.beat(heartbeat(3, { born: 1_000 }));
    expect(heardMs()).toEqual([0]);
  });

  // Guards against a stream that goes on at another start of a target, as a late heartbeat passes for one of the start expected.
  it('tells when the newest start called, by its own heartbeats in order only', async () => {
    // Guards against a target taken for alive, and for the start that answers, after a call that is late or that others made.
    const heardMs = (): (number | undefined)[] => registry.heardStarts(['t1']).map((heard) => heard.heardMs);
    registry.depart({ name: 't1', born: 1_000 }, Announcement.DRAINING);
    expect(heardMs()).toEqual([undefined]);
    registry.beat(heartbeat(4, { born: 1_000 }));
    await clock.advance(100);
    expect(heardMs()).toEqual([100]);
    registry.beat(heartbeat(3, { born: 1_000 }));
    registry.leave({ name: 't1', born: 1_000 });
    expect(heardMs()).toEqual([100]);
    registry.depart({ name: 't1', born: 2_000 }, Announcement.LEFT);
    registry.beat(heartbeat(5, { born: 1_000 }));
    expect(registry.heardStarts(['t1'])).toEqual([
      { start: { name: 't1', born: 2_000 }, heardMs: undefined },
    ]);
  });

  it('treats an announcement by the process beside a target as older than all calls of the target', () => {
    const announced = create(controlMessage.AnnouncedTargetSchema, {
      name: 't1',
      service: 's',
      address: '10.0.0.1:80',
      capacity: 4,
    });
    registry.announce(announced);
    expect(state()).toBe(Announcement.READY);
    registry.beat(heartbeat(1, { draining: true }));
    registry.announce(announced);
    expect(state()).toBe(Announcement.DRAINING);
    registry.leave({ name: 't1' });
    registry.announce(announced);
    expect(state()).toBe(Announcement.LEFT);
  });

  it('marks a target without heartbeats for three intervals as silent, until its next heartbeat', async () => {
    registry.beat(heartbeat(1));
    await clock.advance(3 * HEARTBEAT_MS);
    registry.checkExpiry();
    expect(state()).toBe(Announcement.READY);
    await clock.advance(1);
    registry.checkExpiry();
    expect(state()).toBe(Announcement.SILENT);
    registry.beat(heartbeat(2));
    expect(state()).toBe(Announcement.READY);
  });

  it('keeps that a silent target drains, for followers that come later', async () => {
    // Guards against work for a target that was draining: its heartbeats ended or moved to another instance, and what is left of
    // its state says that it is silent here and, by a late heartbeat, ready there.
    registry.beat(heartbeat(1, { draining: true }));
    await clock.advance(5 * HEARTBEAT_MS);
    registry.checkExpiry();
    expect(state()).toBe(Announcement.DRAINING);
    const other = new TargetRegistry(clock, silentLog, HEARTBEAT_MS);
    for (const target of registry.since(0)) other.adopt(target);
    expect(other.since(0).map(({ announcement }) => announcement)).toEqual([Announcement.DRAINING]);
  });

  it('keeps a leave for as long as heartbeats of the start arrive', async () => {
    // Guards against work for a target that left minutes ago and still sends heartbeats.
    registry.leave({ name: 't1' });
    for (let sequence = 1; sequence <= 300; sequence += 1) {
      await clock.advance(HEARTBEAT_MS);
      registry.beat(heartbeat(sequence));
      registry.checkExpiry();
    }
    expect(state()).toBe(Announcement.LEFT);
    await clock.advance(REMOVAL_DELAY_MS + 1);
    registry.checkExpiry();
    expect(state()).toBeUndefined();
  });

  it('keeps the newer weights when a heartbeat predates their load', () => {
    registry.beat(heartbeat(1));
    observe(4, false, 2);
    registry.beat(heartbeat(2));
    expect(registry.since(0)[0]?.weights.map(({ version }) => version)).toEqual([2n]);
  });

  it('ends a pause that is not renewed', async () => {
    // Guards against a target that never gets work again: the process beside it pauses it, and is killed before it ends the
    // pause.
    registry.beat(heartbeat(1));
    observe(4, true);
    expect(registry.since(0)[0]?.paused).toBe(true);
    await clock.advance(6_001);
    registry.beat(heartbeat(2));
    registry.checkExpiry();
    expect(registry.since(0)[0]?.paused).toBe(false);
  });

  it('ignores an observation that arrives after a newer one, and one of an unknown target', () => {
    expect(observe(1, true)).toBe(false);
    registry.beat(heartbeat(1));
    observe(6, false);
    observe(5, true);
    expect(registry.since(0)[0]?.paused).toBe(false);
  });
});
