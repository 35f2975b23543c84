import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { RecentBoard } from './recentBoard.js';

const load = (targetId: string, running: number): controlMessage.TargetLoad =>
  create(controlMessage.TargetLoadSchema, { targetId, running, waiting: 0 });

describe('the board of what was told last', () => {
  it('tells the newest of each target, gathered', async () => {
    const clock = new ManualClock();
    const board = new RecentBoard<controlMessage.TargetLoad>(clock, 150);
    let told = 0;
    board.onChange(() => {
      told += 1;
    });
    board.take('a', load('a', 1));
    board.take('b', load('b', 2));
    board.take('a', load('a', 3));
    await clock.advance(150);
    expect(told).toBe(1);
    expect(board.since(0).map(({ targetId, running }) => [targetId, running])).toEqual([
      ['b', 2],
      ['a', 3],
    ]);
    expect(board.since(board.place())).toEqual([]);
  });
});
