import { ManualClock } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { Endorsement } from './endorsement.js';
import type { Candidate } from './endorsement.js';

const LENGTH_MS = 500;

const candidate = (replicaId: string, rank: number, index = 5n): Candidate => ({
  replicaId,
  rank,
  last: { index, term: 2n },
});

const first = candidate('first', 0);
const second = candidate('second', 1);

describe('an endorsement', () => {
  let clock: ManualClock;
  let endorsement: Endorsement;

  beforeEach(() => {
    clock = new ManualClock();
    endorsement = new Endorsement(clock, LENGTH_MS);
  });

  // Guards against votes that are split, as a voter encourages each candidate that asks.
  it('is kept from a candidate that comes behind', () => {
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.support(second)).toBe(false);
    expect(endorsement.wasOf('first')).toBe(true);
  });

  it('goes over to a candidate that comes before', () => {
    endorsement.support(second);
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.wasOf('first')).toBe(true);
  });

  // Guards against a replica without the newest entries, which nobody may elect, that holds up those that have them.
  it('goes over to a candidate with more in its log', () => {
    endorsement.support(first);
    expect(endorsement.support(candidate('second', 1, 6n))).toBe(true);
    expect(endorsement.support(first)).toBe(false);
  });

  it('ends by itself', async () => {
    endorsement.support(first);
    await clock.advance(LENGTH_MS);
    expect(endorsement.support(second)).toBe(true);
  });

  // Guards against a candidate that hears no answers, asks for ever and keeps all others from being elected.
  it('is not renewed at once by a candidate that asks again and again', async () => {
    for (let ms = 0; ms < LENGTH_MS; ms += LENGTH_MS / 10) {
      expect(endorsement.support(first)).toBe(true);
      expect(endorsement.support(second)).toBe(false);
      await clock.advance(LENGTH_MS / 10);
    }
    expect(endorsement.support(first)).toBe(true);
    expect(endorsement.support(second)).toBe(true);
  });

  // Guards against a candidate that comes before all others, hears no answers and takes over from each that could be elected.
  it('is not renewed at once by taking over from another candidate', async () => {
    expect(endorsement.support(first)).toBe(true);
    await clock.advance(LENGTH_MS);
    expect(endorsement.support(second)).toBe(true);
    await clock.advance(LENGTH_MS / 10);
    expect(endorsement.support(first)).toBe(false);
    expect(endorsement.wasOf('second')).toBe(true);
  });
});
