import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { CompactMessage } from './compactMessage.js';

async function partsOf(message: CompactMessage): Promise<Buffer[]> {
  const parts: Buffer[] = [];
  for await (const part of message as AsyncIterable<Buffer>) parts.push(part);
  return parts;
}

describe('CompactMessage', () => {
  // Guards against a process that ends under a body in very small chunks: each is an object of its own.
  it('hands on many small parts as few, in order', async () => {
    const message = new CompactMessage(new Socket());
    const body = Buffer.from(Array.from({ length: 100_000 }, (_, at) => at % 251));
    for (const byte of body) message.push(Buffer.from([byte]));
    message.push(null);
    message.complete = true;
    const parts = await partsOf(message);
    expect(Buffer.concat(parts).equals(body)).toBe(true);
    expect(parts.length).toBeLessThan(20);
  });

  it('keeps the order of small and large parts', async () => {
    const message = new CompactMessage(new Socket());
    const parts = [Buffer.from('a'), Buffer.alloc(20_000, 'b'), Buffer.from('c'), Buffer.from('d')];
    for (const part of parts) message.push(part);
    message.push(null);
    message.complete = true;
    expect(Buffer.concat(await partsOf(message)).equals(Buffer.concat(parts))).toBe(true);
  });
});
