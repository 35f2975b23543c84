import { describe, expect, it } from 'vitest';
import { shapes } from '../deployment/index.js';
import { replay } from '../oracle/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import type { RequestRecord } from './record.js';
import { quantiles, reportOf } from './report.js';

const plan = planWorkload(shapes.trust, { ...defaultWorkload, rate: 40, durationMs: 20_000 });
const oracle = replay(plan, 7_200);

const answered = (cachedOf: (id: string) => number): RequestRecord[] =>
  plan.map(({ id, customer, atMs }) => ({
    id,
    customer,
    atMs,
    outcome: 'complete',
    status: 200,
    code: '',
    run: 'ran',
    detail: '',
    sentLateMs: 0,
    firstTokenMs: 50,
    totalMs: 100,
    outputTokens: 16,
    promptTokens: oracle.get(id)?.promptTokens,
    cachedTokens: cachedOf(id),
    redials: 0,
  }));

describe('reportOf', () => {
  it("puts a run with the oracle's hits at 1.0 times the least", () => {
    const report = reportOf(
      answered((id) => oracle.get(id)?.cachedTokens ?? 0),
      oracle,
      5_000,
      20_000,
    );
    expect(report.recomputation).toBe(1);
    expect(report.hitRate).toBe(report.oracleHitRate);
    expect(report.hitRate).toBeGreaterThan(0.8);
  });

  it('puts a run without any hit at all prompt tokens over the least', () => {
    const report = reportOf(
      answered(() => 0),
      oracle,
      5_000,
      20_000,
    );
    expect(report.hitRate).toBe(0);
    expect(report.recomputation).toBeGreaterThan(5);
  });

  it('counts refusals by code and run state, only inside the window', () => {
    const records = answered(() => 0).map((record, index) =>
      index % 2 === 0
        ? record
        : { ...record, outcome: 'refused' as const, code: 'overloaded', run: 'not-run' },
    );
    const report = reportOf(records, oracle, 0, 1_000);
    expect(report.refusals).toEqual({ 'overloaded not-run': report.outcomes.refused });
    expect(report.requests).toBeLessThan(80);
  });
});

describe('quantiles', () => {
  it('takes the nearest rank', () => {
    const values = Array.from({ length: 1_000 }, (_, index) => index + 1);
    expect(quantiles(values)).toEqual({ count: 1_000, p50: 500, p95: 950, p99: 990, p999: 999, max: 1_000 });
  });
});

describe('the oracle', () => {
  it('does no worse with more memory', () => {
    const hits = (blocks: number): number =>
      [...replay(plan, blocks).values()].reduce((sum, row) => sum + row.cachedTokens, 0);
    expect(hits(7_200)).toBeGreaterThan(hits(1_200));
  });
});
