/** The report of a chaos run, for people and for scripts. */
import { formatTable } from '../table/index.js';
import { quantiles } from '../load/index.js';
import type { Quantiles } from '../load/index.js';
import type { WishRecord } from './caller.js';
import type { TroubleRecord } from './trouble.js';
import { promiseNames } from './verdict.js';
import type { ExecutionCounts, PromiseName, Violation } from './verdict.js';

/** Figures of a run. */
export interface ChaosReport {
  readonly requests: number;
  /** Tries of all callers, resends included. */
  readonly sends: number;
  readonly minutes: number;
  readonly seed: number;
  readonly violations: Readonly<Record<PromiseName, number>>;
  /** How the last try of each wish ended: outcome, code, run. */
  readonly ends: Readonly<Record<string, number>>;
  /** How single tries ended. */
  readonly tries: Readonly<Record<string, number>>;
  readonly troubles: Readonly<Record<string, number>>;
  readonly executions: number;
  /** Wishes that may run twice and did. */
  readonly repeatedIdempotent: number;
  readonly firstTokenMs: Quantiles;
  readonly totalMs: Quantiles;
  readonly examples: readonly Violation[];
}

const MAX_EXAMPLES = 100;

const countBy = (values: readonly string[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
};

/** Builds the report. */
export function chaosReport(
  run: { readonly minutes: number; readonly seed: number },
  wishes: readonly WishRecord[],
  counts: ExecutionCounts,
  troubles: readonly TroubleRecord[],
  violations: readonly Violation[],
): ChaosReport {
  const tries = wishes.flatMap((wish) => wish.tries.map(({ record }) => record));
  const ends = wishes.map((wish) => wish.tries.at(-1)?.record).filter((record) => record !== undefined);
  const label = ({ outcome, code, run: ran }: (typeof tries)[number]): string =>
    outcome === 'complete' ? 'complete' : `${outcome} ${code} ${ran}`.trimEnd();
  const repeatable = wishes.filter((wish) => !wish.once);
  const byPromise = countBy(violations.map(({ promise }) => promise));
  return {
    requests: wishes.length,
    sends: tries.length,
    ...run,
    violations: Object.fromEntries(promiseNames.map((name) => [name, byPromise[name] ?? 0])) as Record<
      PromiseName,
      number
    >,
    ends: countBy(ends.map(label)),
    tries: countBy(tries.map(label)),
    troubles: countBy(troubles.map(({ trouble }) => trouble)),
    executions: [...counts.byId.values()].reduce((sum, count) => sum + count, 0),
    repeatedIdempotent: repeatable.filter(({ nonce }) => (counts.byNonce.get(nonce) ?? 0) > 1).length,
    firstTokenMs: quantiles(
      tries.map((record) => record.firstTokenMs).filter((value) => value !== undefined),
    ),
    totalMs: quantiles(ends.filter(({ outcome }) => outcome === 'complete').map(({ totalMs }) => totalMs)),
    examples: violations.slice(0, MAX_EXAMPLES),
  };
}

const rowsOf = (counts: Readonly<Record<string, number>>): string[][] =>
  Object.entries(counts)
    .sort(([, a], [, b]) => b - a)
    .map(([name, count]) => [name, String(count)]);

const timesOf = ({ p50, p99, p999, max }: Quantiles): string =>
  `p50 ${p50}, p99 ${p99}, p99.9 ${p999}, max ${max} ms`;

/** The report as text. */
export function formatChaos(report: ChaosReport): string {
  const { requests, sends, minutes, seed, executions, repeatedIdempotent } = report;
  return [
    `${requests} requests in ${minutes} minutes, seed ${seed}; ${sends} sends with resends; ${executions} executions`,
    `idempotent requests that ran more than once: ${repeatedIdempotent}`,
    `first token: ${timesOf(report.firstTokenMs)}`,
    `whole answer, last try: ${timesOf(report.totalMs)}`,
    '',
    formatTable(['broken promise', 'count'], rowsOf(report.violations)),
    '',
    formatTable(['how requests ended', 'count'], rowsOf(report.ends)),
    '',
    formatTable(['how single sends ended', 'count'], rowsOf(report.tries)),
    '',
    formatTable(['trouble', 'count'], rowsOf(report.troubles)),
    ...report.examples.slice(0, 10).map(({ promise, detail }) => `\n${promise}: ${detail.slice(0, 800)}`),
  ].join('\n');
}
