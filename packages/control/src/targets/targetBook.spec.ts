import { ManualClock, silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetBook } from './targetBook.js';
import type { Heartbeat } from './targetBook.js';

const HEARTBEAT_MS = 1_000;
const { Announcement } = controlMessage;

const heartbeat = (sequence: number, change: Partial<Heartbeat> = {}): Heartbeat => ({
  id: 't1',
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
    const place = book.place();
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
    book.leave('t1');
    book.beat(heartbeat(9));
    expect(state()).toBe(Announcement.LEFT);
  });

  it('finds a target silent that says nothing for three heartbeats, and hears it again', async () => {
    book.beat(heartbeat(1));
    await clock.advance(3 * HEARTBEAT_MS);
    book.look();
    expect(state()).toBe(Announcement.READY);
    await clock.advance(1);
    book.look();
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
    book.look();
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
