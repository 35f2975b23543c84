import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventScanner, dataOf } from './scanner.js';

function splitAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const places = [...new Set([0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length])].sort(
    (a, b) => a - b,
  );
  return places.slice(1).map((end, index) => bytes.subarray(places[index], end));
}

describe('EventScanner', () => {
  it('returns the same events however the bytes are split', () => {
    const block = fc.oneof(
      fc.constant(': ping\n\n'),
      fc.constant('\n'),
      fc.string().map((text) => `id: 1\ndata: ${JSON.stringify(text)}\n\n`),
      fc.string().map((text) => `data: ${JSON.stringify(text)}\r\n: in between\r\ndata: 2\r\n\r\n`),
    );
    fc.assert(
      fc.property(fc.array(block), fc.array(fc.nat()), (blocks, cuts) => {
        const events = blocks.filter((text) => text.includes('data:'));
        const scanner = new EventScanner();
        const parts = splitAt(Buffer.from(blocks.join('')), cuts).map((part) => scanner.push(part));
        expect(Buffer.concat(parts.map(({ bytes }) => bytes)).toString()).toBe(events.join(''));
        expect(scanner.events).toBe(events.length);
        expect(scanner.pending).toBe(0);
        if (events.length > 0) expect(Buffer.from(scanner.last).toString()).toBe(events.at(-1));
      }),
    );
  });

  it('buffers an incomplete event', () => {
    const scanner = new EventScanner();
    expect(scanner.push(Buffer.from('data: 1\n\ndata: 2')).events).toBe(1);
    expect(scanner.pending).toBe(7);
    expect(Buffer.from(scanner.push(Buffer.from('3\n\n')).bytes).toString()).toBe('data: 23\n\n');
  });

  it('joins data lines', () => {
    expect(dataOf(Buffer.from('id: 3\ndata: a\r\ndata:b\n\n'))).toBe('a\nb');
  });
});
