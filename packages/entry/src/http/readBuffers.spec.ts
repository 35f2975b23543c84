import { describe, expect, it } from 'vitest';
import { ReadBuffers } from './readBuffers.js';
import type { Collection } from './readBuffers.js';

const MB = 1_048_576;

describe('ReadBuffers', () => {
  // Guards against a process that ends over its memory with buffers that nobody uses.
  it('has lately used buffers collected as bytes are read, and all when many are left', () => {
    const collections: Collection[] = [];
    let bufferBytes = 4 * MB;
    const buffers = new ReadBuffers(8 * MB, {
      collect: (type) => collections.push(type),
      bufferBytes: () => bufferBytes,
    });
    buffers.record(MB - 1);
    expect(collections).toEqual([]);
    buffers.record(1);
    expect(collections).toEqual(['minor']);
    bufferBytes = 9 * MB;
    buffers.record(MB);
    expect(collections).toEqual(['minor', 'minor', 'major']);
  });

  it('frees buffers of the runtime itself', () => {
    const used = (): number => process.memoryUsage().arrayBuffers;
    const buffers = new ReadBuffers(8 * MB);
    const before = used();
    for (let at = 0; at < 64; at += 1) Buffer.allocUnsafeSlow(MB).fill(at);
    for (let at = 0; at < 4; at += 1) buffers.record(8 * MB);
    expect(used() - before).toBeLessThan(32 * MB);
  });
});
