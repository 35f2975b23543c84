import { create } from '@bufbuild/protobuf';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetList } from './targetList.js';

const { Announcement, AnnouncedTargetSchema } = controlMessage;

const announced = (
  id: string,
  sequence: number,
  announcement = Announcement.READY,
  change: { address?: string; paused?: boolean; observation?: bigint } = {},
): controlMessage.AnnouncedTarget =>
  create(AnnouncedTargetSchema, {
    id,
    service: 's',
    address: '10.0.0.1:80',
    dataCentre: 'here',
    capacity: 4,
    announcement,
    sequence: BigInt(sequence),
    ...change,
  });

describe('the list of targets', () => {
  let clock: ManualClock;
  let list: TargetList;

  beforeEach(() => {
    clock = new ManualClock();
    list = new TargetList(clock, silentLog);
  });

  const ready = (): string[] => list.ready('s').map(({ id }) => id);

  it('keeps a target alive that one of several control instances hears', () => {
    // Symptom: a healthy target gets no work.
    // Sequence: its heartbeats move to another control instance; the one before finds it silent.
    // Cause: one instance's silence was taken for the target's.
    list.apply('c1', [announced('t1', 1)], true);
    list.apply('c2', [announced('t1', 2)], true);
    list.apply('c1', [announced('t1', 1, Announcement.SILENT)], false);
    expect(ready()).toEqual(['t1']);
    list.apply('c2', [announced('t1', 2, Announcement.SILENT)], false);
    expect(ready()).toEqual([]);
  });

  it('believes a leave whoever heard it, and never takes it back', () => {
    list.apply('c1', [announced('t1', 9)], true);
    list.apply('c2', [announced('t1', 0, Announcement.LEFT, { address: '' })], true);
    list.apply('c1', [announced('t1', 10)], false);
    expect(ready()).toEqual([]);
  });

  it('serves on what it knows while no control instance is left', async () => {
    list.apply('c1', [announced('t1', 1)], true);
    list.lost('c1');
    await clock.advance(60_000);
    expect(ready()).toEqual(['t1']);
  });

  it('forgets what a lost control instance said once another one is heard', async () => {
    list.apply('c1', [announced('t1', 1)], true);
    list.apply('c2', [announced('t2', 1)], true);
    list.lost('c1');
    await clock.advance(3_999);
    expect(ready()).toEqual(['t1', 't2']);
    await clock.advance(2);
    expect(ready()).toEqual(['t2']);
  });

  it('leaves a target out whose address answered for another one', () => {
    // Symptom: requests go to an address, and the target there refuses each of them.
    // Sequence: a target crashes, another starts at its address; a heartbeat of the first arrives late.
    // Cause: the late heartbeat brought the first one back.
    list.apply('c1', [announced('t1', 1)], true);
    list.replaced('t1');
    list.apply('c1', [announced('t1', 7)], false);
    expect(ready()).toEqual([]);
  });

  it('uses the newer of two starts, whichever is heard of first and at whichever control instance', () => {
    // Symptom: requests go to a start of a target that is over, or the new one gets none.
    // Sequence: a target starts again under its id; one control instance hears the old start last, another the new one.
    // Cause: what the instances said was merged by the target's id alone.
    const start = (born: number, sequence: number, announcement = Announcement.READY) => ({
      ...announced(`t1/${born}`, sequence, announcement),
      name: 't1',
      born: BigInt(born),
    });
    list.apply('c1', [start(1_000, 40)], true);
    list.apply('c2', [start(2_000, 1)], true);
    expect(ready()).toEqual(['t1/2000']);
    list.apply('c1', [start(1_000, 41)], false);
    list.apply('c1', [start(1_000, 41, Announcement.LEFT)], false);
    expect(ready()).toEqual(['t1/2000']);

    const other = new TargetList(clock, silentLog);
    other.apply('c2', [start(2_000, 1)], true);
    other.apply('c1', [start(1_000, 40)], true);
    expect(other.ready('s').map(({ id, name }) => [id, name])).toEqual([['t1/2000', 't1']]);
    expect(other.at('10.0.0.1:80')?.id).toBe('t1/2000');
  });

  it('tells of a pause once, and ends it by a newer observation only', () => {
    const paused: string[] = [];
    list.onPause((id) => paused.push(id));
    const observed = (observation: bigint, isPaused: boolean) =>
      announced('t1', 1, Announcement.READY, { paused: isPaused, observation });
    list.apply('c1', [observed(0n, false)], true);
    list.apply('c1', [observed(5n, true)], false);
    list.apply('c2', [observed(5n, true)], true);
    expect(paused).toEqual(['t1']);
    list.apply('c2', [observed(4n, false)], false);
    expect(ready()).toEqual([]);
    list.apply('c2', [observed(5n, false)], false);
    expect(ready()).toEqual(['t1']);
  });
});
