/** Text tables of measurements. */

/** A row: column names to values. */
export type Row = Readonly<Record<string, string | number>>;

/** Formats a table with the columns of the first row. Numbers are aligned to the right. */
export function formatTable(title: string, rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => String(row[column] ?? '').length)),
  );
  const line = (cells: readonly (string | number)[]): string =>
    cells
      .map((cell, place) => {
        const width = widths[place] ?? 0;
        return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  const body = rows.map((row) => line(columns.map((column) => row[column] ?? '')));
  return [title, line(columns), ...body, ''].join('\n');
}

/** Quantile of the samples. @param fraction 0 to 1. */
export function quantile(samples: readonly number[], fraction: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}

/** Rounds to `digits` decimal places. */
export function rounded(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
