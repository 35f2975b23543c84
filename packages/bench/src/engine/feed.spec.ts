import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { Random } from '../random/index.js';
import { blocksOf } from './cache.js';
import { CacheFeed } from './feed.js';
import { tokenBytes } from './prompt.js';
import { engineSettings, tuningOf } from './settings.js';

const blocks = blocksOf(tokenBytes('abcd'.repeat(64)), { salt: 's', model: 'm', adapter: '', version: '1' });

function scene(change: Record<string, number>) {
  const clock = new ManualClock();
  const tuning = tuningOf(engineSettings.parse(change));
  const feed = new CacheFeed('i1', tuning, new Random(3), clock);
  return { clock, feed };
}

describe('CacheFeed', () => {
  it('joins a run of blocks into one event with all its tokens', async () => {
    const { clock, feed } = scene({ eventDelayMs: 0 });
    const events: string[] = [];
    feed.read(0, ({ text }) => events.push(text));
    for (const block of blocks) feed.stored(block);
    feed.flush();
    await clock.advance(0);
    expect(events).toHaveLength(1);
    const event = JSON.parse(events[0] ?? '') as Record<string, unknown>;
    expect(event).toMatchObject({ type: 'stored', sequence: 1, parent: null, salt: 's', block_tokens: 16 });
    expect(event.hashes).toEqual(blocks.map((block) => block.hash));
    expect(event.tokens).toHaveLength(64);
  });

  it('is late by the delay', async () => {
    const { clock, feed } = scene({ eventDelayMs: 100 });
    const sequences: number[] = [];
    feed.read(0, ({ sequence }) => sequences.push(sequence));
    feed.removed(['x']);
    feed.flush();
    await clock.advance(99);
    expect(sequences).toEqual([]);
    await clock.advance(1);
    expect(sequences).toEqual([1]);
  });

  it('loses the set share for good and leaves a gap in the numbers', async () => {
    const { clock, feed } = scene({ eventDelayMs: 0, eventLoss: 0.2 });
    for (let count = 0; count < 1_000; count += 1) {
      feed.removed([String(count)]);
      feed.flush();
    }
    await clock.advance(0);
    const sequences: number[] = [];
    feed.read(0, ({ sequence }) => sequences.push(sequence));
    expect(sequences.length).toBeGreaterThan(740);
    expect(sequences.length).toBeLessThan(860);
    expect(feed.newest).toBe(1_000);
  });

  it('gives a late reader what it missed', async () => {
    const { clock, feed } = scene({ eventDelayMs: 0 });
    for (const name of ['a', 'b', 'c']) {
      feed.removed([name]);
      feed.flush();
    }
    await clock.advance(0);
    const sequences: number[] = [];
    feed.read(2, ({ sequence }) => sequences.push(sequence));
    expect(sequences).toEqual([2, 3]);
  });
});
