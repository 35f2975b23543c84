/** Text tables. */

/** Columns padded to the widest cell, two spaces between; one line for each row. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [head, ...rows];
  const widths = head.map((_, column) => Math.max(...all.map((row) => (row[column] ?? '').length)));
  return all.map((row) => `${formatRow(row, widths)}\n`).join('');
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  return widths
    .map((width, column) => (row[column] ?? '').padEnd(width))
    .join('  ')
    .trimEnd();
}
