import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { RecentReports } from './recentReports.js';

const load = (targetId: string, running: number): controlMessage.TargetLoad =>
  create(controlMessage.TargetLoadSchema, { targetId, running, waiting: 0 });

describe('board of recent reports', () => {
  const setUp = (): { clock: ManualClock; board: RecentReports<controlMessage.TargetLoad> } => {
    const clock = new ManualClock();
    return { clock, board: new RecentReports<controlMessage.TargetLoad>(clock) };
  };
  const summary = (loads: readonly controlMessage.TargetLoad[]): [string, number][] =>
    loads.map(({ targetId, running }) => [targetId, running]);

  it('holds the newest report of each target', () => {
    const { board } = setUp();
    board.take('a', load('a', 1));
    board.take('b', load('b', 2));
    board.take('a', load('a', 3));
    expect(summary(board.since(0))).toEqual([
      ['b', 2],
      ['a', 3],
    ]);
    expect(board.since(board.lastSequenceNumber())).toEqual([]);
  });

  it('passes on to other instances only reports that were sent to it directly', () => {
    // Guards against an outdated load that circulates between control instances for ever: one instance passes a report on
    // to two others, and each passes it on again as if it were a direct one.
    const { board } = setUp();
    board.take('a', load('a', 1));
    board.take('b', load('b', 2), false);
    expect(summary(board.directSince(0))).toEqual([['a', 1]]);
    board.take('a', load('a', 3), false);
    expect(board.directSince(0)).toEqual([]);
    expect(summary(board.since(0))).toEqual([
      ['b', 2],
      ['a', 3],
    ]);
  });

  it('distinguishes recent reports from older ones', async () => {
    const { board, clock } = setUp();
    board.take('a', load('a', 1));
    await clock.advance(600);
    board.take('b', load('b', 2));
    await clock.advance(500);
    expect(summary(board.within(1_000))).toEqual([['b', 2]]);
    const recent = ['a', 'b', 'c'].map((key) => board.recent(key, 1_000)?.running);
    expect(recent).toEqual([undefined, 2, undefined]);
  });
});
