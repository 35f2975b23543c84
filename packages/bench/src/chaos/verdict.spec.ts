import { describe, expect, it } from 'vitest';
import type { RequestRecord } from '../load/index.js';
import type { Try, WishRecord } from './caller.js';
import type { TroubleRecord } from './trouble.js';
import { countExecutions, findViolations } from './verdict.js';

const record = (change: Partial<RequestRecord> = {}): RequestRecord => ({
  id: 'a',
  customer: 'c',
  atMs: 0,
  outcome: 'complete',
  status: 200,
  code: '',
  run: 'ran',
  detail: '',
  sentLateMs: 0,
  totalMs: 10,
  outputTokens: 4,
  redials: 0,
  ...change,
});

const made = (change: Partial<RequestRecord> = {}, fromMs = 1_000): Try => ({
  record: record(change),
  entry: 'entry-1',
  fromMs,
  toMs: fromMs + 10,
});

const wish = (tries: readonly Try[], once = false): WishRecord => ({
  nonce: 'a',
  once,
  kind: 'model',
  tries,
});
const ran = (...ids: string[]) => countExecutions(ids.map((id) => ({ id, nonce: 'a', at: 0 })));
const promises = (...args: Parameters<typeof findViolations>) =>
  findViolations(...args).map(({ promise }) => promise);

const trouble = (change: Partial<TroubleRecord> = {}): TroubleRecord => ({
  trouble: 'kill',
  victims: ['entry-1'],
  fromMs: 900,
  toMs: 1_100,
  ...change,
});

describe('findViolations', () => {
  it('finds nothing wrong with a whole answer that ran once', () => {
    expect(promises([wish([made()], true)], ran('a'), [])).toEqual([]);
  });

  it('finds a request that ran twice though it may not', () => {
    const resent = [made({ outcome: 'broken' }), made({ id: 'a.r1' })];
    expect(promises([wish(resent, true)], ran('a', 'a.r1'), [trouble()])).toEqual(['doubled']);
    expect(promises([wish(resent)], ran('a', 'a.r1'), [trouble()])).toEqual([]);
  });

  it('finds a "not run" of a request that ran', () => {
    const refused = [made({ outcome: 'refused', status: 503, run: 'not-run' })];
    expect(promises([wish(refused)], ran('a'), [])).toEqual(['falseNotRun']);
    expect(promises([wish(refused)], ran(), [])).toEqual([]);
  });

  it.each(['cut', 'crossed', 'disordered'] as const)(
    'finds an answer that was %s, whatever came later',
    (outcome) => {
      const found = promises([wish([made({ outcome }), made({ id: 'a.r1' })])], ran('a'), [trouble()]);
      expect(found).toEqual([outcome === 'cut' ? 'cut' : 'crossed']);
    },
  );

  it('finds a request that never got an answer', () => {
    expect(promises([wish([made({ outcome: 'late' })])], ran(), [trouble()])).toEqual(['lost']);
    expect(promises([wish([made({ outcome: 'unreachable' })])], ran(), [])).toEqual(['lost']);
  });

  it('asks for a cause of a broken connection: trouble at its entry, and not a planned stop', () => {
    const tries = [made({ outcome: 'broken' }), made({ id: 'a.r1' })];
    expect(promises([wish(tries)], ran(), [])).toEqual(['brokenUncaused']);
    expect(promises([wish(tries)], ran(), [trouble({ victims: ['entry-2'] })])).toEqual(['brokenUncaused']);
    expect(promises([wish(tries)], ran(), [trouble({ trouble: 'rolling-stop' })])).toEqual([
      'brokenUncaused',
    ]);
    expect(promises([wish(tries)], ran(), [trouble({ victims: ['entry-1 callers'] })])).toEqual([]);
  });

  it('passes on a planned stop that failed', () => {
    expect(promises([], ran(), [trouble({ problem: 'entry-1 ended with SIGKILL' })])).toEqual(['stopFailed']);
  });
});
