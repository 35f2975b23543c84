// Numbers and Markdown tables as the page has them.

const UNITS = [
  [1e9, 'GB'],
  [1e6, 'MB'],
  [1e3, 'KB'],
];
const SIGNIFICANT = 3;

/** Three significant figures, with separators between thousands. */
export function figure(value) {
  if (!Number.isFinite(value)) return 'n/a';
  const rounded = Number(value.toPrecision(SIGNIFICANT));
  return rounded.toLocaleString('en-GB', { maximumSignificantDigits: SIGNIFICANT });
}

/** Decimal units, as in the letter: 1 MB is 1,000,000 bytes. */
export function bytes(value) {
  const [size, name] = UNITS.find(([least]) => Math.abs(value) >= least) ?? [1, 'B'];
  return `${figure(value / size)} ${name}`;
}

/** A share of one core. */
export const cores = (value) => `${figure(value * 100)} % of a core`;

/** Rows of cells as a Markdown table. */
export function table(head, rows) {
  const line = (cells) => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
}
