import { ManualClock } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { PreVoteEndorsement } from './preVoteEndorsement.js';
import type { Candidate } from './preVoteEndorsement.js';

const LENGTH_MS = 500;

const candidate = (replicaId: string, rank: number, index = 5n): Candidate => ({
  replicaId,
  rank,
  last: { index, term: 2n },
});

const first = candidate('first', 0);
const second = candidate('second', 1);

describe('a pre-vote endorsement', () => {
  let clock: ManualClock;
  let endorsement: PreVoteEndorsement;

  beforeEach(() => {
    clock = new ManualClock();
    endorsement = new PreVoteEndorsement(clock, LENGTH_MS);
  });

  // Guards against split votes, which occur when a voter gives its pre-vote to every candidate.
  it('is kept from a less preferred candidate', () => {
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.support(second)).toBe(false);
    expect(endorsement.wasOf('first')).toBe(true);
  });

  it('goes over to a more preferred candidate', () => {
    endorsement.support(second);
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.wasOf('first')).toBe(true);
  });

  // Guards against a replica without the latest entries, which cannot be elected, that blocks candidates that have them.
  it('goes over to a candidate with more in its log', () => {
    endorsement.support(first);
    expect(endorsement.support(candidate('second', 1, 6n))).toBe(true);
    expect(endorsement.support(first)).toBe(false);
  });

  it('expires', async () => {
    endorsement.support(first);
    await clock.advance(LENGTH_MS);
    expect(endorsement.support(second)).toBe(true);
  });

  // Guards against a candidate that receives no answers, keeps requesting pre-votes and blocks all others.
  it('is not renewed immediately for a candidate that keeps requesting it', async () => {
    for (let ms = 0; ms < LENGTH_MS; ms += LENGTH_MS / 10) {
      expect(endorsement.support(first)).toBe(true);
      expect(endorsement.support(second)).toBe(false);
      await clock.advance(LENGTH_MS / 10);
    }
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.support(second)).toBe(true);
  });

  // Guards against the most preferred candidate receiving no answers, but displacing every candidate that could be elected.
  it('is not renewed immediately by taking it from another candidate', async () => {
    expect(endorsement.support(first)).toBe(true);
    await clock.advance(LENGTH_MS);
    expect(endorsement.support(second)).toBe(true);
    await clock.advance(LENGTH_MS / 10);
    expect(endorsement.support(first)).toBe(false);
    expect(endorsement.wasOf('second')).toBe(true);
  });
});
