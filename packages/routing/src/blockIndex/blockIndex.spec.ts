import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { BLOCK_BYTES, BLOCK_TOKENS, createChain } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import { BlockIndex } from './blockIndex.js';
import type { CacheChange, RemovedBlocks, StoredBlocks } from './change.js';

const CUSTOMER = 'members';

/** A prompt whose block `n` is filled with the letter at `n`. */
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

/** The engine names a block after the letters up to it. */
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

  it('ends a prefix at the first block that was removed', () => {
    const index = indexOf(stored(1, 'abcd'), removed(2, 'ab'));
    expect(index.longestPrefix(chainOf('abcd'))).toBe(1);
    expect(index.counts().blocks).toBe(3);
  });

  it('never finds blocks of another customer', () => {
    // Symptom: a customer is promised cached work that the engine computes anew, or learns that another one has
    // sent the same text. Sequence: two customers send the same prompt. Cause: blocks told apart by text alone.
    const index = indexOf(stored(1, 'abc', { customer: 'festival' }));
    expect(index.longestPrefix(chainOf('abc', 'festival'))).toBe(3);
    expect(index.longestPrefix(chainOf('abc'))).toBe(0);
  });

  it('vouches for nothing older than a gap until a snapshot', () => {
    // Symptom: probes promise cached blocks, the engine computes them, first tokens come later than estimated.
    // Sequence: block b is removed, the event is lost, the next event arrives.
    // Cause: what was held before the lost event is still counted on.
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

  it('vouches again for blocks that the engine has found or built upon since the gap', () => {
    const index = indexOf(stored(1, 'abc'), stored(3, 'xy'));
    index.confirm(chainOf('abc'), 2);
    expect(index.longestPrefix(chainOf('abc'))).toBe(2);
    index.apply(stored(4, 'abcd', { parent: 'abc' }));
    expect(index.longestPrefix(chainOf('abcd'))).toBe(4);
  });

  it('takes what was computed since a gap to be likely, until a snapshot says better', () => {
    // Symptom: after a few lost events hardly any prompt is known to be cached, and hit rate falls by a fifth.
    // Sequence: the event that tells of a prompt's blocks is lost; all that follow name parents never heard of.
    // Cause: only events tell of blocks, though the prompts themselves have passed here.
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
    // Symptom: a restarted, empty engine is taken to have a prefix cached.
    // Sequence: the engine restarts; events of its old process are still on their way and arrive now.
    // Cause: events are taken up by sequence number alone.
    const index = indexOf(stored(1, 'ab'));
    index.begin('two');
    expect(index.longestPrefix(chainOf('ab'))).toBe(0);
    expect(index.apply(stored(2, 'abc', { parent: 'ab' }))).toBe('old-incarnation');
    expect(index.longestPrefix(chainOf('abc'))).toBe(0);
    expect(index.apply(stored(1, 'x', { incarnation: 'two' }))).toBe('applied');
    expect(index.longestPrefix(chainOf('x'))).toBe(1);
  });

  it('relies on nothing when an event tells of a process that nobody has named', () => {
    // Symptom, cause: as above, when the events of the new process arrive before the agent has noticed it.
    const index = indexOf(stored(1, 'ab'));
    expect(index.apply(stored(1, 'x', { incarnation: 'two' }))).toBe('unknown-incarnation');
    expect(index.longestPrefix(chainOf('ab'))).toBe(0);
    expect(index.apply(stored(2, 'abc'))).toBe('old-incarnation');
    index.begin('one');
    expect(index.apply(stored(2, 'x', { incarnation: 'two' }))).toBe('old-incarnation');
    index.apply(stored(3, 'ab'));
    expect(index.longestPrefix(chainOf('ab'))).toBe(2);
  });

  it('takes up late removals, and no late blocks', () => {
    const index = indexOf(stored(5, 'abc'));
    expect(index.apply(stored(3, 'xy'))).toBe('late');
    expect(index.longestPrefix(chainOf('xy'))).toBe(0);
    expect(index.apply(removed(4, 'abc'))).toBe('late');
    expect(index.longestPrefix(chainOf('abc'))).toBe(2);
  });

  it('refuses a snapshot older than what it holds, or of another process', () => {
    const index = indexOf(stored(5, 'abc'));
    expect(index.restore({ incarnation: 'one', sequence: 4, events: [] })).toBe(false);
    expect(index.restore({ incarnation: 'two', sequence: 9, events: [] })).toBe(false);
    expect(index.longestPrefix(chainOf('abc'))).toBe(3);
  });

  it('is empty and whole after a clear', () => {
    const index = indexOf(stored(1, 'abc'), { type: 'cleared', incarnation: 'one', sequence: 2 });
    expect([index.longestPrefix(chainOf('abc')), index.synchronised]).toEqual([0, true]);
  });

  it('leaves out blocks whose parent it does not know', () => {
    const index = indexOf(stored(1, 'abcd', { parent: 'ab' }));
    expect([index.counts().blocks, index.counts().orphans]).toEqual([0, 2]);
  });

  it('keeps to its bound, and keeps what is looked at', () => {
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

  it('agrees with a plain set under any changes', () => {
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
