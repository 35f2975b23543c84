import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { EventBuffer } from './eventBuffer.js';
import type { BufferBounds, EventBody } from './eventBuffer.js';

const bounds: BufferBounds = { unread: 1_000, behind: 10_000, behindMs: 5_000 };

const chunk = (size: number, fill = 'x'): EventBody => ({ case: 'chunk', value: Buffer.alloc(size, fill) });

const sizeOf = (event: EventBody | undefined): number => (event?.case === 'chunk' ? event.value.length : -1);

/** Appends chunks that a reader reads and acknowledges at once. */
function appendAndRead(buffer: EventBuffer, count: number, size: number): void {
  for (let index = 0; index < count; index++) {
    buffer.append(chunk(size));
    const ordinal = buffer.end - 1;
    buffer.read(ordinal);
    buffer.acknowledge(ordinal + 1);
  }
}

describe('EventBuffer', () => {
  it('joins unread chunks, and never changes one that was read', () => {
    // A resumed answer repeats bytes. A reader reads an event, more bytes are joined to it, and another reader resumes
    // at the next ordinal.
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.append(chunk(10));
    buffer.append(chunk(20));
    expect([buffer.end, sizeOf(buffer.read(0))]).toEqual([1, 30]);
    buffer.append(chunk(5));
    expect([buffer.end, sizeOf(buffer.read(0)), sizeOf(buffer.read(1))]).toEqual([2, 30, 5]);
  });

  it('has room again once the most advanced reader has acknowledged enough', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.append(chunk(999));
    expect(buffer.hasRoom()).toBe(true);
    buffer.append(chunk(1));
    expect(buffer.hasRoom()).toBe(false);
    buffer.read(0);
    buffer.acknowledge(1);
    expect(buffer.hasRoom()).toBe(true);
  });

  it('keeps a bounded number of acknowledged bytes', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    appendAndRead(buffer, 1_000, 100);
    expect(buffer.end).toBe(1_000);
    expect(buffer.end - buffer.start).toBeGreaterThanOrEqual(100);
    expect(buffer.end - buffer.start).toBeLessThan(200);
  });

  it('keeps recently acknowledged events and drops older ones', async () => {
    const clock = new ManualClock();
    const buffer = new EventBuffer({ ...bounds, behind: 1_000_000 }, clock);
    for (let second = 0; second < 20; second++) {
      appendAndRead(buffer, 15, 10);
      await clock.advance(1_000);
    }
    expect(buffer.end - buffer.start).toBeGreaterThanOrEqual(5 * 15);
    expect(buffer.end - buffer.start).toBeLessThan(5 * 15 + 2 * 64);
  });

  it('ignores events after it was closed', () => {
    const buffer = new EventBuffer(bounds, new ManualClock());
    buffer.clear();
    buffer.append(chunk(1));
    expect([buffer.isClosed, buffer.end]).toEqual([true, 0]);
  });
});
