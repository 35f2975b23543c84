import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { controlMessage, startId } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';
import type { Heartbeat } from '../targets/index.js';
import { DepartureService } from './departureService.js';
import { DepartureStore, departureId } from './departureStore.js';

const { Announcement } = controlMessage;

/** Longer than a call may be late, milliseconds. */
const LONG_MS = 6_000;

/** One control instance without a network. */
class Instance {
  readonly targets: TargetRegistry;
  readonly relayed: RelayedTargets;
  readonly departures: DepartureService;
  /** Departures that were sent to other instances, as ids of starts. */
  readonly copied: string[] = [];
  /** Whether a majority stores them. */
  isStored = true;
  private readonly copies = {
    spread: (departure: controlMessage.Departure) => {
      this.copied.push(departureId(departure));
      return Promise.resolve(this.isStored);
    },
  };

  constructor(clock: ManualClock) {
    this.targets = new TargetRegistry(clock, silentLog, 1_000);
    this.relayed = new RelayedTargets(clock);
    const { targets, relayed, copies } = this;
    const store = new DepartureStore();
    this.departures = new DepartureService({
      targets,
      relayed,
      store,
      copies,
      log: silentLog,
      metrics: silentMetrics,
    });
  }

  beat(born?: number, draining = false, sequence = 1): Promise<boolean> {
    const place = { service: 's', address: '10.0.0.1:80', dataCentre: 'here', capacity: 4 };
    const heartbeat: Heartbeat = {
      name: 't',
      born,
      ...place,
      draining,
      sequence,
      coldMs: 0,
      weights: [],
    };
    return this.departures.beat(heartbeat);
  }

  /** Reports all that it knows to another instance. */
  reportTo(other: Instance): void {
    other.relayed.apply('10.0.0.9:1', this.targets.since(0), true);
  }

  leave(born?: number): Promise<boolean> {
    return this.departures.leave({ name: 't', born });
  }

  state(born?: number): controlMessage.Announcement | undefined {
    const id = startId({ name: 't', born });
    return this.targets.since(0).find((target) => target.id === id)?.announcement;
  }
}

describe('a leave call', () => {
  let clock: ManualClock;
  let called: Instance;
  let other: Instance;

  beforeEach(() => {
    clock = new ManualClock();
    called = new Instance(clock);
    other = new Instance(clock);
  });

  it('marks the start that it names, also where that is not known', async () => {
    expect(await called.leave(1_000)).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  // Guards against work for a target whose leave was acknowledged by an instance that never heard from it.
  it('without a start means the newest one that any instance knows', async () => {
    await other.beat(1_000);
    other.reportTo(called);
    expect(await called.leave()).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  it('without a start is refused where no instance knows the target', async () => {
    expect(await called.leave()).toBe(false);
  });

  it('without a start means the only known one, however new', async () => {
    await called.beat(1_000);
    expect(await called.leave()).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  // Guards against no work for a target that has just started: the leave call of its previous start arrives late.
  it('without a start is refused soon after a newer one began', async () => {
    await called.beat(1_000);
    await called.beat(2_000);
    expect(await called.leave()).toBe(false);
    expect(called.state(2_000)).toBe(Announcement.READY);
    await clock.advance(LONG_MS);
    expect(await called.leave()).toBe(true);
    expect(called.state(2_000)).toBe(Announcement.LEFT);
  });

  // Guards against a leave that is acknowledged and dropped: the instance began after the target, and takes its start for new.
  it('without a start takes effect at an instance that has just heard of both starts', async () => {
    await other.beat(1_000);
    await other.beat(2_000);
    await clock.advance(LONG_MS);
    other.reportTo(called);
    await called.beat(2_000);
    expect(await called.leave()).toBe(true);
    expect(called.state(2_000)).toBe(Announcement.LEFT);
  });
});

describe('a departure', () => {
  let clock: ManualClock;
  let instance: Instance;

  beforeEach(() => {
    clock = new ManualClock();
    instance = new Instance(clock);
  });

  // Guards against an acknowledgement that nobody remembers: the instance that gave it ends, or all lose power.
  it('is acknowledged only once a majority stores it, and marked at once', async () => {
    instance.isStored = false;
    expect(await instance.leave(1_000)).toBe(false);
    expect(instance.state(1_000)).toBe(Announcement.LEFT);
    instance.isStored = true;
    expect(await instance.leave(1_000)).toBe(true);
    expect(instance.copied).toEqual(['t/1000', 't/1000']);
  });

  it('is copied once, by the first heartbeat of a target that drains', async () => {
    await instance.beat(1_000);
    expect(instance.copied).toEqual([]);
    for (const sequence of [2, 3]) expect(await instance.beat(1_000, true, sequence)).toBe(true);
    expect(instance.copied).toEqual(['t/1000']);
    expect(await instance.leave(1_000)).toBe(true);
    expect(instance.copied).toEqual(['t/1000']);
  });

  // Guards against work for a target whose late heartbeat reaches an instance that only other instances told of its departure.
  it.each(['DRAINING', 'LEFT'] as const)('of another instance outlasts late heartbeats: %s', async (way) => {
    const announcement = Announcement[way];
    const departures = [create(controlMessage.DepartureSchema, { name: 't', born: 1_000n, announcement })];
    await instance.departures.record(create(controlMessage.RecordDeparturesRequestSchema, { departures }));
    await instance.beat(1_000, false, 9);
    expect(instance.state(1_000)).toBe(announcement);
    await instance.beat(2_000);
    expect(instance.state(2_000)).toBe(Announcement.READY);
  });
});
