import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { BLOCK_BYTES, BLOCK_TOKENS, createChain } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import { BlockIndex } from './blockIndex.js';
import type { CacheChange, RemovedBlocks, StoredBlocks } from './change.js';

const CUSTOMER = 'members';

/** A prompt whose block `n` is filled with the letter at index `n`. */
function promptOf(letters: string): Uint8Array {
  return new TextEncoder().encode(Array.from(letters, (letter) => letter.repeat(BLOCK_BYTES)).join(''));
}

const chainOf = (letters: string, customer = CUSTOMER): Chain =>
  createChain({ customer, model: 'caption', adapter: '', weightsVersion: '1' }, promptOf(letters));

interface Place {
  readonly incarnation?: string;
  readonly customer?: string;
  readonly parent?: string;
}

/** A stored event. The engine's hash of a block is the customer and the letters up to it. */
function stored(sequence: number, letters: string, place: Place = {}): StoredBlocks {
  const { incarnation = 'one', customer = CUSTOMER, parent = '' } = place;
  const bytes = promptOf(letters.slice(parent.length));
  return {
    type: 'stored',
    incarnation,
    sequence,
    parent: parent === '' ? null : `${customer}:${parent}`,
    hashes: Array.from(
      letters.slice(parent.length),
      (_, block) => `${customer}:${letters.slice(0, parent.length + block + 1)}`,
    ),
    tokens: [...new Uint32Array(bytes.slice().buffer)],
    blockTokens: BLOCK_TOKENS,
    salt: customer,
    model: 'caption',
    adapter: '',
    version: '1',
  };
}

const removed = (sequence: number, ...names: string[]): RemovedBlocks => ({
  type: 'removed',
  incarnation: 'one',
  sequence,
  hashes: names.map((name) => `${CUSTOMER}:${name}`),
});

function indexOf(...changes: CacheChange[]): BlockIndex {
  const index = new BlockIndex({ capacity: 1_000 });
  index.begin('one');
  for (const change of changes) index.apply(change);
  return index;
}

describe('BlockIndex', () => {
  it('finds the longest cached prefix through parents', () => {
    const index = indexOf(
      stored(1, 'abc'),
      stored(2, 'abcde', { parent: 'abc' }),
      stored(3, 'abx', { parent: 'ab' }),
    );
    expect(index.longestPrefix(chainOf('abcdez'))).toBe(5);
    expect(index.longestPrefix(chainOf('abxy'))).toBe(3);
    expect(index.longestPrefix(chainOf('zabc'))).toBe(0);
  });

  it('ends a prefix at the first removed block', () => {
    const index = indexOf(stored(1, 'abcd'), removed(2, 'ab'));
    expect(index.longestPrefix(chainOf('abcd'))).toBe(1);
    expect(index.counts().blocks).toBe(3);
  });

  it('never finds blocks of another customer', () => {
    // Two customers send the same prompt. If blocks were identified by their text alone, the blocks of one customer
    // would count as cached for the other, although the engine computes them anew, and would reveal that another
    // customer has sent the same text.
    const index = indexOf(stored(1, 'abc', { customer: 'festival' }));
    expect(index.longestPrefix(chainOf('abc', 'festival'))).toBe(3);
    expect(index.longestPrefix(chainOf('abc'))).toBe(0);
  });

  it('does not confirm blocks from before a gap until a snapshot', () => {
    // Block b is removed and the event is lost. If blocks from before the lost event still counted as cached, the
    // engine would have to compute them, and first tokens would arrive later than estimated.
    const index = indexOf(stored(1, 'ab'));
    expect(index.apply(stored(3, 'cd'))).toBe('gap');
    expect(index.longestPrefix(chainOf('ab'))).toBe(0);
    expect(index.likelyPrefix(chainOf('ab'))).toBe(2);
    expect(index.longestPrefix(chainOf('cd'))).toBe(2);
    expect(index.synchronised).toBe(false);
    expect(
      index.restore({ incarnation: 'one', sequence: 3, events: [stored(3, 'a'), stored(3, 'cd')] }),
    ).toBe(true);
    expect(index.synchronised).toBe(true);
    expect(index.longestPrefix(chainOf('ab'))).toBe(1);
    expect(index.apply(stored(4, 'ae', { parent: 'a' }))).toBe('applied');
  });

  it('confirms blocks again that the engine found cached or used as a parent since the gap', () => {
    const index = indexOf(stored(1, 'abc'), stored(3, 'xy'));
    index.confirm(chainOf('abc'), 2);
    expect(index.longestPrefix(chainOf('abc'))).toBe(2);
    index.apply(stored(4, 'abcd', { parent: 'abc' }));
    expect(index.longestPrefix(chainOf('abcd'))).toBe(4);
  });

  it('counts blocks computed since a gap as likely until a snapshot', () => {
    // When the event of a prompt's blocks is lost, all later events refer to unknown parents. If only events added
    // blocks, hardly any prompt would be known to be cached after a few lost events, and the hit rate would fall by a
    // fifth.
    const index = indexOf(stored(1, 'ab'), stored(3, 'xy'));
    index.confirm(chainOf('abcd'), 2);
    expect([index.longestPrefix(chainOf('abcd')), index.likelyPrefix(chainOf('abcd'))]).toEqual([2, 4]);
    index.confirm(chainOf('abcd'), 4);
    expect(index.longestPrefix(chainOf('abcd'))).toBe(2);
    index.apply(stored(4, 'abc', { parent: 'ab' }));
    expect(index.longestPrefix(chainOf('abcd'))).toBe(3);
    index.restore({ incarnation: 'one', sequence: 4, events: [stored(4, 'ab')] });
    index.confirm(chainOf('abcd'), 2);
    expect(index.likelyPrefix(chainOf('abcd'))).toBe(2);
  });

  it('ignores late events of an engine process that has ended', () => {
    // Events of the old process can arrive after the engine has restarted. If they were accepted by sequence number
    // alone, the restarted engine with its empty cache would count as having a prefix cached.
    const index = indexOf(stored(1, 'ab'));
    index.begin('two');
    expect(index.longestPrefix(chainOf('ab'))).toBe(0);
    expect(index.apply(stored(2, 'abc', { parent: 'ab' }))).toBe('old-incarnation');
    expect(index.longestPrefix(chainOf('abc'))).toBe(0);
    expect(index.apply(stored(1, 'x', { incarnation: 'two' }))).toBe('applied');
    expect(index.longestPrefix(chainOf('x'))).toBe(1);
  });

  it('clears the index when an event comes from an unknown process', () => {
    // As above, but the events of the new process arrive before the agent has noticed the restart.
    const index = indexOf(stored(1, 'ab'));
    expect(index.apply(stored(1, 'x', { incarnation: 'two' }))).toBe('unknown-incarnation');
    expect(index.longestPrefix(chainOf('ab'))).toBe(0);
    expect(index.apply(stored(2, 'abc'))).toBe('old-incarnation');
    index.begin('one');
    expect(index.apply(stored(2, 'x', { incarnation: 'two' }))).toBe('old-incarnation');
    index.apply(stored(3, 'ab'));
    expect(index.longestPrefix(chainOf('ab'))).toBe(2);
  });

  it('applies late removals, but no late stored blocks', () => {
    const index = indexOf(stored(5, 'abc'));
    expect(index.apply(stored(3, 'xy'))).toBe('late');
    expect(index.longestPrefix(chainOf('xy'))).toBe(0);
    expect(index.apply(removed(4, 'abc'))).toBe('late');
    expect(index.longestPrefix(chainOf('abc'))).toBe(2);
  });

  it('rejects a snapshot that is older than the index or of another process', () => {
    const index = indexOf(stored(5, 'abc'));
    expect(index.restore({ incarnation: 'one', sequence: 4, events: [] })).toBe(false);
    expect(index.restore({ incarnation: 'two', sequence: 9, events: [] })).toBe(false);
    expect(index.longestPrefix(chainOf('abc'))).toBe(3);
  });

  it('is empty and complete after a clear', () => {
    const index = indexOf(stored(1, 'abc'), { type: 'cleared', incarnation: 'one', sequence: 2 });
    expect([index.longestPrefix(chainOf('abc')), index.synchronised]).toEqual([0, true]);
  });

  it('ignores blocks whose parent is unknown', () => {
    const index = indexOf(stored(1, 'abcd', { parent: 'ab' }));
    expect([index.counts().blocks, index.counts().orphans]).toEqual([0, 2]);
  });

  it('stays within its capacity and keeps recently used blocks', () => {
    const index = new BlockIndex({ capacity: 64 });
    index.begin('one');
    index.apply(stored(1, 'abcd'));
    for (let round = 0; round < 500; round += 1) {
      index.apply(stored(round + 2, `q${String.fromCharCode(1_000 + round)}`));
      expect(index.longestPrefix(chainOf('abcd'))).toBe(4);
    }
    expect(index.counts().blocks).toBeLessThanOrEqual(64);
    expect(index.counts().evicted).toBeGreaterThan(0);
  });

  it('agrees with a plain set for arbitrary changes', () => {
    const word = fc.string({ unit: fc.constantFrom('a', 'b'), minLength: 1, maxLength: 6 });
    const step = fc.record({ add: fc.boolean(), word });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const held = new Set<string>();
        const index = indexOf();
        steps.forEach(({ add, word: letters }, place) => {
          if (add) index.apply(stored(place + 1, letters));
          else index.apply(removed(place + 1, letters));
          for (let end = 1; add && end <= letters.length; end += 1) held.add(letters.slice(0, end));
          if (!add) held.delete(letters);
        });
        expect(index.counts().blocks).toBe(held.size);
        for (const letters of ['aaaaaa', 'ababab', 'bbbaaa', 'abba']) {
          let expected = 0;
          while (expected < letters.length && held.has(letters.slice(0, expected + 1))) expected += 1;
          expect(index.longestPrefix(chainOf(letters))).toBe(expected);
        }
      }),
    );
  });
});
