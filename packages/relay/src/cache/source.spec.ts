import { describe, expect, it } from 'vitest';
import { sourceOf } from './source.js';

const STORE = '10.0.0.9:80';
const store = (tokens: number, isBusy = false) => ({ address: STORE, tokens, isBusy });
const near = (tokens: number) => ({ address: 'near:1', tokens });
const far = (tokens: number) => ({ address: 'far:1', tokens });

describe('the source of shared parts', () => {
  it('is neither a store with a busy link nor a neighbour that has no more than the target', () => {
    // After a loss of all caches, prompts that all name the store as their source wait for its single link, and first
    // tokens come after a second even at targets with little to read.
    expect(
      sourceOf({ localTokens: 2_520, neighbours: [near(2_520)], store: store(6_300, true) }),
    ).toBeUndefined();
    expect(sourceOf({ localTokens: 0, neighbours: [] })).toBeUndefined();
  });

  it('is a store with a free link even for parts that are not reported as stored', () => {
    // Parts that neighbours read within the last half second are in the store but not reported yet. If unreported
    // parts counted as missing, a target that has just loaded new weights would read three times as many shared
    // tokens again.
    const unknown = { address: STORE, tokens: 0, isStore: true };
    expect(sourceOf({ localTokens: 2_520, neighbours: [near(2_520)], store: store(0) })).toEqual(unknown);
  });

  it('is the neighbour with the most tokens, the nearest of equals, in preference to the store', () => {
    expect(sourceOf({ localTokens: 0, neighbours: [near(6_300), far(6_300)], store: store(6_300) })).toEqual({
      address: 'near:1',
      tokens: 6_300,
      isStore: false,
    });
    expect(sourceOf({ localTokens: 0, neighbours: [near(2_520), far(6_300)] })?.address).toBe('far:1');
    expect(sourceOf({ localTokens: 1_000, neighbours: [near(2_520)], store: store(6_300) })).toEqual({
      address: STORE,
      tokens: 5_300,
      isStore: true,
    });
  });

  it('is a neighbour with some of the parts while the link of the store is busy', () => {
    expect(sourceOf({ localTokens: 0, neighbours: [], store: store(6_300, true) })).toBeUndefined();
    expect(sourceOf({ localTokens: 0, neighbours: [near(2_520)], store: store(6_300, true) })?.address).toBe(
      'near:1',
    );
  });
});
