/** Text tables of figures. */

/** One line: name of the column to its text. */
export type Row = Readonly<Record<string, string | number>>;

/** Columns in the order of the first row, padded; numbers to the right. */
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

/** The value below which a part (0 to 1) of the sorted samples lie. */
export function quantile(samples: readonly number[], part: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

/** Rounded to `digits` places. */
export function rounded(value: number, digits = 1): number {
  return Number(value.toFixed(digits));
}
