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

  it('gathers for longer where many tell', async () => {
    // Pattern: 32 entries tell their work, ten times a second each; each event goes to all of them.
    const clock = new ManualClock();
    const board = new RecentBoard<controlMessage.TargetLoad>(clock, 25, 8);
    let told = 0;
    board.onChange(() => {
      told += 1;
    });
    const tellAll = (): void => {
      for (let entry = 0; entry < 32; entry += 1) board.take(`e${entry}`, load('t', entry));
    };
    tellAll();
    await clock.advance(100);
    told = 0;
    for (let round = 0; round < 10; round += 1) {
      tellAll();
      await clock.advance(100);
    }
    expect(told).toBeLessThanOrEqual(10);
    expect(board.since(0)).toHaveLength(32);
  });
});
