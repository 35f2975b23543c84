import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo, until } from '../testing/bed.js';
import { ask } from '../testing/caller.js';

const limitsOf = (maxHeaderBytes: number) => ({
  limits: { maxHeaderBytes, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});

/** A field that makes the head larger than an entry without a configuration allows. */
const LARGE = { 't-filling': 'x'.repeat(40_000) };

describe('the head of a request', () => {
  let bed: RelayBed;

  afterEach(() => bed.stop());

  // Guards against a limit of the configuration that nobody keeps.
  it('may be as large as the configuration in force says', async () => {
    bed = await RelayBed.start([routeTo()], 1, limitsOf(65_536));
    expect((await ask(bed.url, { headers: LARGE })).status).toBe(200);
    bed.configure([routeTo()], limitsOf(16_384));
    await until(() => bed.configured === 2);
    expect((await ask(bed.url, { headers: LARGE })).status).toBe(431);
    expect((await ask(bed.url)).status).toBe(200);
    expect(bed.arrivalCount()).toBe(2);
  });
});
