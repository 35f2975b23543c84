/** From records to the figures of a run. */
import type { OracleRow } from '../oracle/index.js';
import { outcomes } from './record.js';
import type { OutcomeName, RequestRecord } from './record.js';

/** Points of a distribution, milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Figures of a run. */
export interface Report {
  readonly requests: number;
  readonly outcomes: Readonly<Record<OutcomeName, number>>;
  readonly refusals: Readonly<Record<string, number>>;
  readonly firstTokenMs: Quantiles;
  readonly tokenGapMs: Quantiles;
  readonly longestGapMs: Quantiles;
  readonly goodputPerSecond: number;
  /** Cached over all prompt tokens of answered requests. */
  readonly hitRate: number;
  /** The same requests at the oracle. */
  readonly oracleHitRate: number;
  readonly computedTokens: number;
  readonly leastComputedTokens: number;
  /** Prompt tokens computed over the least possible. */
  readonly recomputation: number;
  /** Connections that were refused before one was taken. */
  readonly redials: number;
  /** The bench's own delay in sending; where it is large, the machine was too busy for the figures to count. */
  readonly sentLateMs: Quantiles;
}

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

/** Quantile by nearest rank: exact, since all values are kept. */
export function quantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number): number =>
    round(sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN, 1);
  return { count: sorted.length, p50: at(0.5), p95: at(0.95), p99: at(0.99), p999: at(0.999), max: at(1) };
}

const present = (values: readonly (number | undefined)[]): number[] =>
  values.filter((value) => value !== undefined);

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const countBy = (values: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
};

/** Cached over all prompt tokens, and what the oracle had for the same requests. */
function reuse(
  records: readonly RequestRecord[],
  oracle: ReadonlyMap<string, OracleRow>,
): Pick<Report, 'hitRate' | 'oracleHitRate' | 'computedTokens' | 'leastComputedTokens' | 'recomputation'> {
  const known = records.filter((record) => record.cachedTokens !== undefined && oracle.has(record.id));
  const prompt = sum(known.map((record) => record.promptTokens ?? 0));
  const cached = sum(known.map((record) => record.cachedTokens ?? 0));
  const best = known.map((record) => oracle.get(record.id));
  const bestCached = sum(best.map((row) => row?.cachedTokens ?? 0));
  const bestPrompt = sum(best.map((row) => row?.promptTokens ?? 0));
  return {
    hitRate: round(cached / prompt, 4),
    oracleHitRate: round(bestCached / bestPrompt, 4),
    computedTokens: prompt - cached,
    leastComputedTokens: bestPrompt - bestCached,
    recomputation: round((prompt - cached) / (bestPrompt - bestCached), 3),
  };
}

/** Figures of the records between two times of the run. */
export function reportOf(
  records: readonly RequestRecord[],
  oracle: ReadonlyMap<string, OracleRow>,
  fromMs: number,
  toMs: number,
): Report {
  const inside = records.filter((record) => record.atMs >= fromMs && record.atMs < toMs);
  const counts = countBy(inside.map((record) => record.outcome));
  const refused = inside.filter((record) => record.outcome === 'refused' || record.outcome === 'failed');
  const complete = inside.filter((record) => record.outcome === 'complete');
  return {
    requests: inside.length,
    outcomes: Object.fromEntries(outcomes.map((name) => [name, counts[name] ?? 0])) as Record<
      OutcomeName,
      number
    >,
    refusals: countBy(refused.map((record) => `${record.code} ${record.run}`)),
    firstTokenMs: quantiles(present(inside.map((record) => record.firstTokenMs))),
    tokenGapMs: quantiles(present(complete.map((record) => record.tokenGapMs))),
    longestGapMs: quantiles(present(complete.map((record) => record.longestGapMs))),
    goodputPerSecond: round(complete.length / ((toMs - fromMs) / 1_000), 2),
    ...reuse(inside, oracle),
    redials: sum(inside.map((record) => record.redials)),
    sentLateMs: quantiles(inside.map((record) => record.sentLateMs)),
  };
}

/** Lines for people. */
export function formatReport(report: Report): string {
  const line = (name: string, value: string): string => `${name.padEnd(24)}${value}`;
  const times = ({ p50, p95, p99, p999, max }: Quantiles): string =>
    `p50 ${p50}  p95 ${p95}  p99 ${p99}  p99.9 ${p999}  max ${max}`;
  const list = (counts: Readonly<Record<string, number>>): string =>
    Object.entries(counts)
      .filter(([, count]) => count > 0)
      .map(([name, count]) => `${name.trim()} ${count}`)
      .join(', ') || 'none';
  return [
    line('requests', String(report.requests)),
    line('outcomes', list(report.outcomes)),
    line('refusals', list(report.refusals)),
    line('first token ms', times(report.firstTokenMs)),
    line('between tokens ms', times(report.tokenGapMs)),
    line('longest gap ms', times(report.longestGapMs)),
    line('answers a second', String(report.goodputPerSecond)),
    line('hit rate', `${report.hitRate} (oracle ${report.oracleHitRate})`),
    line('computed tokens', `${report.computedTokens} (least ${report.leastComputedTokens})`),
    line('over the least', `${report.recomputation}`),
    line('redials', String(report.redials)),
    line("bench's own delay ms", times(report.sentLateMs)),
  ].join('\n');
}
