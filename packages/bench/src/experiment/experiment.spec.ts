import { describe, expect, it } from 'vitest';
import { drawSvg, drawText, panelsOf } from '../plot/index.js';
import { specsOf } from './experiment.js';
import type { RunResult } from './result.js';
import { experimentSettings } from './settings.js';
import { formatResults, spreadOf } from './summary.js';

const settings = experimentSettings.parse({ policies: 'round-robin,default', shapes: 'trust', repeats: '2' });

const quantiles = { count: 1, p50: 10, p95: 20, p99: 30, p999: 40, max: 50 };
const report: RunResult['report'] = {
  requests: 100,
  outcomes: { complete: 90, refused: 8, cut: 2 },
  refusals: {},
  firstTokenMs: quantiles,
  tokenGapMs: quantiles,
  longestGapMs: quantiles,
  goodputPerSecond: 5,
  hitRate: 0.8,
  oracleHitRate: 0.9,
  computedTokens: 200,
  leastComputedTokens: 100,
  recomputation: 2,
  redials: 0,
  sentLateMs: quantiles,
};

const result = (policy: string, seed: number, p99: number): RunResult => ({
  policy,
  shape: 'trust',
  load: 80,
  fault: 'none',
  seed,
  rate: 60,
  report: { ...report, firstTokenMs: { ...quantiles, p99 } },
  before: report,
  after: report,
  engineComputedTokens: 1_000,
  machineLoad: 3,
});

describe('specsOf', () => {
  it('interleaves policies and gives all of a repeat one seed', () => {
    const specs = specsOf(settings, { trust: 100 });
    expect(specs).toHaveLength(2 * 3 * 6 * 2);
    expect(specs.slice(0, 4).map(({ policy }) => policy)).toEqual([
      'round-robin',
      'default',
      'round-robin',
      'default',
    ]);
    expect(new Set(specs.slice(0, 36).map(({ seed }) => seed))).toEqual(new Set([1]));
    expect(specs[0]?.rate).toBeCloseTo(((specs[12]?.rate ?? 0) * 50) / 80);
  });
});

describe('the table and the plot', () => {
  const results = [result('round-robin', 1, 100), result('default', 1, 40), result('round-robin', 2, 120)];

  it('shows the mean and half the range of repeats', () => {
    expect(spreadOf([100, 120, null])).toEqual({ mean: 110, half: 10 });
    const lines = formatResults(results).split('\n');
    expect(lines).toHaveLength(3);
    expect(lines[1]).toMatch(/trust +80 +none +round-robin +2 .* 110±10 /);
    expect(lines[2]).toMatch(/default +1 .* 40 /);
  });

  it('draws a bar for each policy in each row', () => {
    const panels = panelsOf([
      { name: 'a', file: { startedAt: '', command: '', capacities: {}, results, failures: [] } },
    ]);
    expect(panels[0]?.groups[0]?.bars.map(({ series }) => series)).toEqual(['round-robin', 'default']);
    expect(drawSvg(panels).match(/<title>/g)).toHaveLength(6);
    expect(drawText(panels)).toContain('110.0 ±10.0');
  });
});
