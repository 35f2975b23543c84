import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { RecentBoard } from './recentBoard.js';

const load = (targetId: string, running: number): controlMessage.TargetLoad =>
  create(controlMessage.TargetLoadSchema, { targetId, running, waiting: 0 });

describe('the board of what was told last', () => {
  const setUp = (): { clock: ManualClock; board: RecentBoard<controlMessage.TargetLoad> } => {
    const clock = new ManualClock();
    return { clock, board: new RecentBoard<controlMessage.TargetLoad>(clock) };
  };
  const told = (loads: readonly controlMessage.TargetLoad[]): [string, number][] =>
    loads.map(({ targetId, running }) => [targetId, running]);

  it('tells the newest of each target', () => {
    const { board } = setUp();
    board.take('a', load('a', 1));
    board.take('b', load('b', 2));
    board.take('a', load('a', 3));
    expect(told(board.since(0))).toEqual([
      ['b', 2],
      ['a', 3],
    ]);
    expect(board.since(board.place())).toEqual([]);
  });

  it('passes on to other instances only what it was told itself', () => {
    // Symptom: a load that is long old goes round between control instances for ever.
    // Sequence: one tells it to two others, each of which tells it on.
    // Cause: what was passed on counted as told.
    const { board } = setUp();
    board.take('a', load('a', 1));
    board.take('b', load('b', 2), false);
    expect(told(board.ownSince(0))).toEqual([['a', 1]]);
    board.take('a', load('a', 3), false);
    expect(board.ownSince(0)).toEqual([]);
    expect(told(board.since(0))).toEqual([
      ['b', 2],
      ['a', 3],
    ]);
  });

  it('knows what is recent', async () => {
    const { board, clock } = setUp();
    board.take('a', load('a', 1));
    await clock.advance(600);
    board.take('b', load('b', 2));
    await clock.advance(500);
    expect(told(board.within(1_000))).toEqual([['b', 2]]);
    expect([board.isRecent('a', 1_000), board.isRecent('b', 1_000), board.isRecent('c', 1_000)]).toEqual([
      false,
      true,
      false,
    ]);
  });
});
