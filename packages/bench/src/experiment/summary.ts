/** The table of an experiment: one line for each row and policy, the spread over repeats shown. */
import { formatTable } from '../table/index.js';
import type { RunResult } from './result.js';

/** Mean and half the range of repeats. */
export interface Spread {
  readonly mean: number;
  readonly half: number;
}

/** Mean and half range of what is a number. */
export function spreadOf(values: readonly (number | null)[]): Spread {
  const known = values.filter((value) => value !== null && Number.isFinite(value));
  const numbers = known as number[];
  if (numbers.length === 0) return { mean: Number.NaN, half: 0 };
  const mean = numbers.reduce((sum, value) => sum + value, 0) / numbers.length;
  return { mean, half: (Math.max(...numbers) - Math.min(...numbers)) / 2 };
}

const show = ({ mean, half }: Spread, digits: number): string => {
  if (Number.isNaN(mean)) return '-';
  return half === 0 ? mean.toFixed(digits) : `${mean.toFixed(digits)}±${half.toFixed(digits)}`;
};

const refusedOf = ({ report }: RunResult): number => (report.outcomes.refused ?? 0) / report.requests;

const brokenOf = ({ report }: RunResult): number =>
  report.requests - (report.outcomes.complete ?? 0) - (report.outcomes.refused ?? 0);

/** Columns: title and how a cell is made from the repeats. */
const columns: readonly (readonly [string, (runs: readonly RunResult[]) => string])[] = [
  ['shape', (runs) => runs[0]?.shape ?? ''],
  ['load', (runs) => String(runs[0]?.load ?? '')],
  ['fault', (runs) => runs[0]?.fault ?? ''],
  ['policy', (runs) => runs[0]?.policy ?? ''],
  ['runs', (runs) => String(runs.length)],
  ['hit %', (runs) => show(spreadOf(runs.map(({ report }) => (report.hitRate ?? Number.NaN) * 100)), 1)],
  ['of oracle %', (runs) => show(spreadOf(runs.map(ofOracle)), 1)],
  ['over least', (runs) => show(spreadOf(runs.map(({ report }) => report.recomputation)), 2)],
  ['p50 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.firstTokenMs.p50)), 0)],
  ['p95 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.firstTokenMs.p95)), 0)],
  ['p99 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.firstTokenMs.p99)), 0)],
  ['p99.9 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.firstTokenMs.p999)), 0)],
  ['gap p99 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.tokenGapMs.p99)), 0)],
  ['refused %', (runs) => show(spreadOf(runs.map((run) => refusedOf(run) * 100)), 1)],
  ['broken', (runs) => show(spreadOf(runs.map(brokenOf)), 1)],
  ['bench late p99 ms', (runs) => show(spreadOf(runs.map(({ report }) => report.sentLateMs.p99)), 0)],
  ['machine load', (runs) => show(spreadOf(runs.map(({ machineLoad }) => machineLoad)), 0)],
  [
    'hit % before',
    (runs) => show(spreadOf(runs.map(({ before }) => (before.hitRate ?? Number.NaN) * 100)), 1),
  ],
  [
    'hit % 5 s after',
    (runs) => show(spreadOf(runs.map(({ after }) => (after.hitRate ?? Number.NaN) * 100)), 1),
  ],
];

function ofOracle({ report }: RunResult): number {
  return ((report.hitRate ?? Number.NaN) / (report.oracleHitRate ?? Number.NaN)) * 100;
}

const rowKey = ({ shape, load, fault, policy }: RunResult): string => [shape, load, fault, policy].join(' ');

/** Runs by row and policy, in order of first appearance. */
export function groupRuns(results: readonly RunResult[]): RunResult[][] {
  const groups = new Map<string, RunResult[]>();
  for (const result of results) {
    const key = rowKey(result);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [result]);
    else group.push(result);
  }
  return [...groups.values()];
}

/** The table. */
export function formatResults(results: readonly RunResult[]): string {
  const rows = groupRuns(results).map((runs) => columns.map(([, cell]) => cell(runs)));
  return formatTable(
    columns.map(([title]) => title),
    rows,
  );
}
