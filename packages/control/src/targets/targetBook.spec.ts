import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetBook } from './targetBook.js';
import type { Heartbeat } from './targetBook.js';

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

describe('the book of targets', () => {
  let clock: ManualClock;
  let book: TargetBook;

  beforeEach(() => {
    clock = new ManualClock();
    book = new TargetBook(clock, silentLog, HEARTBEAT_MS);
  });

  const state = (id = 't1'): controlMessage.Announcement | undefined =>
    book.since(0).find((target) => target.id === id)?.announcement;

  const observe = (observation: number, paused: boolean, version = 1): boolean =>
    book.observe({
      targetId: 't1',
      observation: BigInt(observation),
      paused,
      weights: [{ model: 'm', version: BigInt(version), ageMs: 0 }],
    } as controlMessage.ObserveRequest);

  it('tells followers of changes only', () => {
    book.beat(heartbeat(1));
    const place = book.lastChangeNumber();
    book.beat(heartbeat(2));
    expect(book.since(place)).toEqual([]);
    book.beat(heartbeat(3, { draining: true }));
    expect(book.since(place).map(({ announcement }) => announcement)).toEqual([Announcement.DRAINING]);
  });

  it('takes no heartbeat that was overtaken', () => {
    // Symptom: a target that drains gets new work again.
    // Sequence: its older heartbeat is held up on the way and arrives after the newer one.
    // Cause: the last heartbeat to arrive was believed.
    book.beat(heartbeat(5, { draining: true }));
    book.beat(heartbeat(4));
    expect(state()).toBe(Announcement.DRAINING);
  });

  it('keeps a leave, also of a target that it did not know', () => {
    book.leave({ name: 't1' });
    book.beat(heartbeat(9));
    expect(state()).toBe(Announcement.LEFT);
  });

  it('hears a target that starts again under its id, and ends the start before', () => {
    // Symptom: a target gets no work for minutes after a crash.
    // Sequence: it crashes and starts again under its id; it counts its heartbeats from 1 again.
    // Cause: all heartbeats up to the count of before were taken for late ones, and one that had left never came back.
    book.beat(heartbeat(40, { born: 1_000 }));
    book.beat(heartbeat(1, { born: 2_000 }));
    expect(state('t1/1000')).toBe(Announcement.LEFT);
    expect(state('t1/2000')).toBe(Announcement.READY);
    book.leave({ name: 't1', born: 2_000 });
    book.beat(heartbeat(1, { born: 3_000 }));
    expect(state('t1/2000')).toBe(Announcement.LEFT);
    expect(state('t1/3000')).toBe(Announcement.READY);
  });

  it('takes no late word of an older start', async () => {
    // Symptom: a target that has just started gets no work, or a dead one does.
    // Sequence: a heartbeat, or the leave, of the start before is held up on the way, and comes after the new start's.
    // Cause: it was believed of the target, whichever start had sent it.
    book.beat(heartbeat(40, { born: 1_000 }));
    book.beat(heartbeat(1, { born: 2_000 }));
    const place = book.lastChangeNumber();
    book.beat(heartbeat(41, { born: 1_000 }));
    book.beat(heartbeat(42));
    book.leave({ name: 't1', born: 1_000 });
    book.leave({ name: 't1' });
    expect(book.since(place)).toEqual([]);
    expect(state('t1/2000')).toBe(Announcement.READY);
    await clock.advance(5_000);
    book.beat(heartbeat(5, { born: 2_000 }));
    book.leave({ name: 't1' });
    expect(state('t1/2000')).toBe(Announcement.LEFT);
  });

  it('takes a leave that tells no start as of the one that is known, however new', () => {
    book.beat(heartbeat(1, { born: 1_000 }));
    book.leave({ name: 't1' });
    expect(state('t1/1000')).toBe(Announcement.LEFT);
  });

  it('takes a target from the process beside it, as older than all of its own calls', () => {
    const announced = create(controlMessage.AnnouncedTargetSchema, {
      name: 't1',
      service: 's',
      address: '10.0.0.1:80',
      capacity: 4,
    });
    book.announce(announced);
    expect(state()).toBe(Announcement.READY);
    book.beat(heartbeat(1, { draining: true }));
    book.announce(announced);
    expect(state()).toBe(Announcement.DRAINING);
    book.leave({ name: 't1' });
    book.announce(announced);
    expect(state()).toBe(Announcement.LEFT);
  });

  it('finds a target silent that says nothing for three heartbeats, and hears it again', async () => {
    book.beat(heartbeat(1));
    await clock.advance(3 * HEARTBEAT_MS);
    book.checkExpiry();
    expect(state()).toBe(Announcement.READY);
    await clock.advance(1);
    book.checkExpiry();
    expect(state()).toBe(Announcement.SILENT);
    book.beat(heartbeat(2));
    expect(state()).toBe(Announcement.READY);
  });

  it('keeps the newer weights when a heartbeat was made before they were loaded', () => {
    book.beat(heartbeat(1));
    observe(4, false, 2);
    book.beat(heartbeat(2));
    expect(book.since(0)[0]?.weights.map(({ version }) => version)).toEqual([2n]);
  });

  it('ends a pause that nobody renews', async () => {
    // Symptom: a target gets no work for good.
    // Sequence: the process beside it pauses it, and is killed before it ends the pause.
    // Cause: a pause without an end of its own.
    book.beat(heartbeat(1));
    observe(4, true);
    expect(book.since(0)[0]?.paused).toBe(true);
    await clock.advance(6_001);
    book.beat(heartbeat(2));
    book.checkExpiry();
    expect(book.since(0)[0]?.paused).toBe(false);
  });

  it('takes no observation that was overtaken, and none of a target it does not know', () => {
    expect(observe(1, true)).toBe(false);
    book.beat(heartbeat(1));
    observe(6, false);
    observe(5, true);
    expect(book.since(0)[0]?.paused).toBe(false);
  });
});
