import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { EventBuffer } from './buffer.js';
import type { BufferBounds, EventBody } from './buffer.js';

const bounds: BufferBounds = { unread: 1_000, behind: 10_000, behindMs: 5_000 };

const chunk = (size: number, fill = 'x'): EventBody => ({ case: 'chunk', value: Buffer.alloc(size, fill) });

const sizeOf = (event: EventBody | undefined): number => (event?.case === 'chunk' ? event.value.length : -1);

/** Appends chunks that a reader takes at once. */
function pass(buffer: EventBuffer, count: number, size: number): void {
  for (let index = 0; index < count; index++) {
    buffer.append(chunk(size));
    const ordinal = buffer.end - 1;
    buffer.give(ordinal);
    buffer.taken(ordinal + 1);
  }
}

describe('EventBuffer', () => {
  it('joins chunks that no reader has had, and never changes one that was given', () => {
    // Symptom: a resumed answer has bytes twice.
    // Sequence: a reader takes an event; more is joined to it; another reader resumes at the next ordinal.
    // Cause: an event changed after it had been given away under its ordinal.
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.append(chunk(10));
    buffer.append(chunk(20));
    expect([buffer.end, sizeOf(buffer.give(0))]).toEqual([1, 30]);
    buffer.append(chunk(5));
    expect([buffer.end, sizeOf(buffer.give(0)), sizeOf(buffer.give(1))]).toEqual([2, 30, 5]);
  });

  it('has room again once the foremost reader has taken enough', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.append(chunk(999));
    expect(buffer.hasRoom()).toBe(true);
    buffer.append(chunk(1));
    expect(buffer.hasRoom()).toBe(false);
    buffer.give(0);
    buffer.taken(1);
    expect(buffer.hasRoom()).toBe(true);
  });

  it('keeps a bounded number of bytes behind the foremost reader', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    pass(buffer, 1_000, 100);
    expect(buffer.end).toBe(1_000);
    expect(buffer.end - buffer.start).toBeGreaterThanOrEqual(100);
    expect(buffer.end - buffer.start).toBeLessThan(200);
  });

  it('keeps what was taken a short time ago and drops what was taken long ago', async () => {
    const clock = new ManualClock();
    const buffer = new EventBuffer({ ...bounds, behind: 1_000_000 }, clock);
    for (let second = 0; second < 20; second++) {
      pass(buffer, 15, 10);
      await clock.advance(1_000);
    }
    expect(buffer.end - buffer.start).toBeGreaterThanOrEqual(5 * 15);
    expect(buffer.end - buffer.start).toBeLessThan(5 * 15 + 2 * 64);
  });

  it('takes nothing after the last event', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.clear();
    buffer.append(chunk(1));
    expect([buffer.closed, buffer.end]).toEqual([true, 0]);
  });
});
