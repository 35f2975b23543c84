import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import { controlMessage, startId } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';
import type { Heartbeat } from '../targets/index.js';
import { DepartureService } from './departureService.js';

const { Announcement } = controlMessage;

/** Longer than a call may be late, milliseconds. */
const LONG_MS = 6_000;

/** One control instance without a network. */
class Instance {
  readonly targets: TargetRegistry;
  readonly relayed: RelayedTargets;
  readonly departures: DepartureService;

  constructor(clock: ManualClock) {
    this.targets = new TargetRegistry(clock, silentLog, 1_000);
    this.relayed = new RelayedTargets(clock);
    const { targets, relayed } = this;
    this.departures = new DepartureService({ targets, relayed, log: silentLog, metrics: silentMetrics });
  }

  beat(born?: number): void {
    const place = { service: 's', address: '10.0.0.1:80', dataCentre: 'here', capacity: 4 };
    const heartbeat: Heartbeat = {
      name: 't',
      born,
      ...place,
      draining: false,
      sequence: 1,
      coldMs: 0,
      weights: [],
    };
    this.targets.beat(heartbeat);
  }

  /** Reports all that it knows to another instance. */
  reportTo(other: Instance): void {
    other.relayed.apply('10.0.0.9:1', this.targets.since(0), true);
  }

  leave(born?: number): boolean {
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

  it('marks the start that it names, also where that is not known', () => {
    expect(called.leave(1_000)).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  // Guards against work for a target whose leave was acknowledged by an instance that never heard from it.
  it('without a start means the newest one that any instance knows', () => {
    other.beat(1_000);
    other.reportTo(called);
    expect(called.leave()).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  it('without a start is refused where no instance knows the target', () => {
    expect(called.leave()).toBe(false);
  });

  it('without a start means the only known one, however new', () => {
    called.beat(1_000);
    expect(called.leave()).toBe(true);
    expect(called.state(1_000)).toBe(Announcement.LEFT);
  });

  // Guards against no work for a target that has just started: the leave call of its previous start arrives late.
  it('without a start is refused soon after a newer one began', async () => {
    called.beat(1_000);
    called.beat(2_000);
    expect(called.leave()).toBe(false);
    expect(called.state(2_000)).toBe(Announcement.READY);
    await clock.advance(LONG_MS);
    expect(called.leave()).toBe(true);
    expect(called.state(2_000)).toBe(Announcement.LEFT);
  });

  // Guards against a leave that is acknowledged and dropped: the instance began after the target, and takes its start for new.
  it('without a start takes effect at an instance that has just heard of both starts', async () => {
    other.beat(1_000);
    other.beat(2_000);
    await clock.advance(LONG_MS);
    other.reportTo(called);
    called.beat(2_000);
    expect(called.leave()).toBe(true);
    expect(called.state(2_000)).toBe(Announcement.LEFT);
  });
});
