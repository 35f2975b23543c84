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
  change: { address?: string; softwareVersion?: string; paused?: boolean; observation?: bigint } = {},
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

  it('keeps a target alive whose heartbeats reach one of several control instances', () => {
    // Guards against a healthy target that gets no work: its heartbeats move to another control instance, and the former one
    // reports it as silent.
    list.apply('c1', [announced('t1', 1)], true);
    list.apply('c2', [announced('t1', 2)], true);
    list.apply('c1', [announced('t1', 1, Announcement.SILENT)], false);
    expect(ready()).toEqual(['t1']);
    list.apply('c2', [announced('t1', 2, Announcement.SILENT)], false);
    expect(ready()).toEqual([]);
  });

  it('accepts a leave from any control instance, as final', () => {
    list.apply('c1', [announced('t1', 9)], true);
    list.apply('c2', [announced('t1', 0, Announcement.LEFT, { address: '' })], true);
    list.apply('c1', [announced('t1', 10)], false);
    expect(ready()).toEqual([]);
  });

  // Guards against a known software version that is lost when a process of an older release relays the target without it.
  it.each([1, 3])('keeps the software version when announcement %i comes without it', (sequence) => {
    list.apply('c1', [announced('t1', 2, Announcement.READY, { softwareVersion: 'v1.1' })], true);
    list.apply('c2', [announced('t1', sequence)], true);
    expect(list.ready('s').map(({ softwareVersion }) => softwareVersion)).toEqual(['v1.1']);
  });

  it('keeps the known targets while no control instance is left', async () => {
    list.apply('c1', [announced('t1', 1)], true);
    list.lost('c1');
    await clock.advance(60_000);
    expect(ready()).toEqual(['t1']);
  });

  it('drops the reports of a lost control instance while another one reports', async () => {
    list.apply('c1', [announced('t1', 1)], true);
    list.apply('c2', [announced('t2', 1)], true);
    list.lost('c1');
    await clock.advance(3_999);
    expect(ready()).toEqual(['t1', 't2']);
    await clock.advance(2);
    expect(ready()).toEqual(['t2']);
  });

  it('leaves out a target whose address was taken by another one', () => {
    // Guards against requests that are all refused: a target crashes, another starts at its address, and a late heartbeat of
    // the first brings it back.
    list.apply('c1', [announced('t1', 1)], true);
    list.replaced('t1');
    list.apply('c1', [announced('t1', 7)], false);
    expect(ready()).toEqual([]);
  });

  it('uses the newer of two starts, whatever the order and the control instance that reports them', () => {
    // Guards against requests to a start of a target that is over, or none to the new one: after a restart, one control
    // instance has received the old start last, another one the new start.
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

  it('reports a pause once, and ends it only by an observation that is not older', () => {
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
