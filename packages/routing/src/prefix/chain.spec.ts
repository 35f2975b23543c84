import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { BLOCK_BYTES, createChain, decodeChain, encodeChain, levelsOf, sharedBlocks } from './index.js';
import type { Namespace } from './index.js';

const namespace: Namespace = { customer: 'museum-a', model: 'valuation', adapter: '', weightsVersion: '1' };

const text = (blocks: number, letter: string): Uint8Array =>
  new TextEncoder().encode(letter.repeat(blocks * BLOCK_BYTES));

const join = (...parts: Uint8Array[]): Uint8Array => new Uint8Array(Buffer.concat(parts));

describe('createChain', () => {
  it('has one hash per full block, equal exactly as far as two prompts are equal', () => {
    const left = createChain(namespace, join(text(3, 'a'), text(2, 'b'), text(1, 'c').subarray(4)));
    const right = createChain(namespace, join(text(3, 'a'), text(2, 'd')));
    expect([left.length, right.length]).toEqual([5, 5]);
    expect(sharedBlocks(left, right)).toBe(3);
    expect(left[4]).not.toBe(right[4]);
  });

  it('counts a block that is completed by padding the last token, as engines do', () => {
    const whole = createChain(namespace, join(text(1, 'a'), new Uint8Array(BLOCK_BYTES)));
    const padded = createChain(namespace, join(text(1, 'a'), new Uint8Array(BLOCK_BYTES - 3)));
    expect(padded).toEqual(whole);
  });

  it.each(['customer', 'model', 'adapter', 'weightsVersion'] as const)(
    'shares no block with another %s',
    (field) => {
      // With hashes over the prompt alone, the same prompt in two namespaces would count as cached because of blocks
      // of another customer or of older weights.
      const other = { ...namespace, [field]: 'other' };
      const prompt = text(8, 'a');
      expect(sharedBlocks(createChain(namespace, prompt), createChain(other, prompt))).toBe(0);
    },
  );

  it('is unchanged by encoding and decoding', () => {
    fc.assert(
      fc.property(fc.bigUint64Array({ maxLength: 50 }), (chain) => {
        const bytes = encodeChain(chain);
        expect(decodeChain(join(new Uint8Array(3), bytes).subarray(3))).toEqual(chain);
      }),
    );
  });
});

describe('levelsOf', () => {
  it('has two levels per doubling, deepest first, equal for two prompts as far as they are equal', () => {
    const left = levelsOf(createChain(namespace, join(text(20, 'a'), text(20, 'b'))));
    const right = levelsOf(createChain(namespace, join(text(20, 'a'), text(20, 'c'))));
    expect(left.map((level) => level.blocks)).toEqual([32, 24, 16, 12, 8, 6, 4]);
    expect(left.slice(2)).toEqual(right.slice(2));
    expect(left[1]).not.toEqual(right[1]);
  });

  it('has one level with all blocks of a short prompt, and none for an empty prompt', () => {
    expect(levelsOf(createChain(namespace, text(2, 'a'))).map((level) => level.blocks)).toEqual([2]);
    expect(levelsOf(createChain(namespace, new Uint8Array()))).toEqual([]);
  });
});
