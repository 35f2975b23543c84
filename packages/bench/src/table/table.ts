/** Plain-text tables. */

/** Columns padded to their widest cell; numbers to the right. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const pad = (cell: string, column: number): string => {
    const width = widths[column] ?? 0;
    return /^-?[\d.]+(?:±[\d.]+)?$/.test(cell) ? cell.padStart(width) : cell.padEnd(width);
  };
  return [head, ...rows].map((row) => row.map(pad).join('  ').trimEnd()).join('\n');
}
