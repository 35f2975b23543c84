/** What a plot shows: one panel for each figure, one group of bars for each row, one bar for each policy. */
import { groupRuns, spreadOf } from '../experiment/index.js';
import type { ResultsFile, RunResult, Spread } from '../experiment/index.js';

/** One bar with its spread over repeats. */
export interface Bar {
  readonly series: string;
  readonly spread: Spread;
}

/** Bars side by side. */
export interface BarGroup {
  readonly label: string;
  readonly bars: readonly Bar[];
}

/** One figure of all rows. */
export interface Panel {
  readonly title: string;
  readonly groups: readonly BarGroup[];
}

/** A results file with a name for its series. */
export interface NamedResults {
  readonly name: string;
  readonly file: ResultsFile;
}

const figures: readonly (readonly [string, (run: RunResult) => number | null])[] = [
  ['p99 time to first token, ms', ({ report }) => report.firstTokenMs.p99],
  [
    'hit rate, % of the oracle’s',
    ({ report }) => ((report.hitRate ?? 0) / (report.oracleHitRate ?? 1)) * 100,
  ],
  ['computed prompt tokens over the least', ({ report }) => report.recomputation],
];

interface Row {
  readonly label: string;
  readonly series: string;
  readonly runs: readonly RunResult[];
}

function rowsOf({ name, file }: NamedResults, many: boolean): Row[] {
  return groupRuns(file.results).flatMap((runs) => {
    const first = runs[0];
    if (first === undefined) return [];
    const label = `${first.shape} ${first.load}% ${first.fault}`;
    return [{ label, series: many ? `${name} ${first.policy}` : first.policy, runs }];
  });
}

/** Panels over one or more files; rows of the same label stand together. */
export function panelsOf(files: readonly NamedResults[]): Panel[] {
  const rows = files.flatMap((file) => rowsOf(file, files.length > 1));
  const labels = [...new Set(rows.map(({ label }) => label))];
  return figures.map(([title, value]) => ({
    title,
    groups: labels.map((label) => ({
      label,
      bars: rows
        .filter((row) => row.label === label)
        .map(({ series, runs }) => ({ series, spread: spreadOf(runs.map(value)) })),
    })),
  }));
}
