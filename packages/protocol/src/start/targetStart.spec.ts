import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { AnnouncedTargetSchema } from '../gen/jasmineroute/control_pb.js';
import { NewestStarts, compareStarts, startFields, startId, startOf } from './targetStart.js';

describe('starts of a target', () => {
  it('have unique ids, equal to the name if no time is reported', () => {
    expect(startId({ name: 'i-1' })).toBe('i-1');
    expect(new Set([startId({ name: 'i-1', born: 5 }), startId({ name: 'i-1', born: 6 })]).size).toBe(2);
  });

  it('are ordered by their times, and one with a time is newer than one without', () => {
    const order = (one?: number, other?: number): number =>
      Math.sign(compareStarts({ name: 'i-1', born: one }, { name: 'i-1', born: other }));
    expect([order(5, 6), order(6, 5), order(5, 5), order(), order(5), order(undefined, 5)]).toEqual([
      -1, 1, 0, 0, 1, -1,
    ]);
  });

  it('are reduced to the newest one in any order of arrival', () => {
    const newest = new NewestStarts();
    const start = (born?: number, name = 'i-1') => ({ name, born });
    expect(newest.observe(start(6))).toEqual({ isOld: false });
    expect(newest.observe(start(5)).isOld).toBe(true);
    expect(newest.observe(start()).isOld).toBe(true);
    expect(newest.observe(start(6))).toEqual({ isOld: false });
    expect(newest.observe(start(1, 'i-2'))).toEqual({ isOld: false });
    expect(newest.observe(start(7))).toEqual({ isOld: false, ended: start(6) });
    newest.remove(start(6));
    expect(newest.newestOf('i-1')?.born).toBe(7);
    newest.remove(start(7));
    expect(newest.newestOf('i-1')).toBeUndefined();
  });

  it('are unchanged by a message', () => {
    const sent = (start: { name: string; born?: number }) =>
      startOf(create(AnnouncedTargetSchema, { id: startId(start), ...startFields(start) }));
    expect(sent({ name: 'i-1', born: 1_764_000_000_000 })).toEqual({ name: 'i-1', born: 1_764_000_000_000 });
    expect(sent({ name: 'i-1' })).toEqual({ name: 'i-1', born: undefined });
    expect(startOf(create(AnnouncedTargetSchema, { id: 'i-1' })).name).toBe('i-1');
  });
});
