/** Panels as an SVG picture. */
import type { Bar, Panel } from './series.js';

const COLOURS = ['#4878a8', '#e0883c', '#5a9e57', '#c44e52', '#8069ae', '#8c6a5a', '#d47fb4', '#7a7a7a'];
const BAR = 14;
const GROUP_GAP = 22;
const PLOT_HEIGHT = 200;
const PANEL_HEIGHT = 330;
const LEFT = 70;
const TOP = 40;

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const text = (x: number, y: number, content: string, extra = ''): string =>
  `<text x="${x}" y="${y}" ${extra}>${escape(content)}</text>`;

const finite = (value: number): number => (Number.isFinite(value) ? value : 0);

interface Scale {
  readonly top: number;
  y(value: number): number;
}

function scaleOf(panel: Panel): Scale {
  const bars = panel.groups.flatMap((group) => group.bars);
  const top = Math.max(1, ...bars.map(({ spread }) => finite(spread.mean + spread.half)));
  return { top, y: (value) => PLOT_HEIGHT - (Math.min(value, top) / top) * PLOT_HEIGHT };
}

function drawBar({ series, spread }: Bar, x: number, scale: Scale, colour: string): string {
  const mean = finite(spread.mean);
  const y = scale.y(mean);
  const middle = x + BAR / 2;
  const title = `<title>${escape(series)}: ${mean.toFixed(2)} ± ${spread.half.toFixed(2)}</title>`;
  const rect = `<rect x="${x}" y="${y}" width="${BAR - 2}" height="${PLOT_HEIGHT - y}" fill="${colour}">${title}</rect>`;
  const [high, low] = [scale.y(mean + spread.half), scale.y(Math.max(0, mean - spread.half))];
  return `${rect}<line x1="${middle}" x2="${middle}" y1="${high}" y2="${low}" stroke="#222"/>`;
}

function drawPanel(panel: Panel, series: readonly string[], index: number): string {
  const scale = scaleOf(panel);
  const parts = [text(0, -14, panel.title, 'font-weight="bold"')];
  for (const share of [0, 0.5, 1]) {
    const value = scale.top * share;
    parts.push(text(-8, scale.y(value) + 4, value.toFixed(value < 10 ? 1 : 0), 'text-anchor="end"'));
    parts.push(`<line x1="0" x2="100%" y1="${scale.y(value)}" y2="${scale.y(value)}" stroke="#ddd"/>`);
  }
  let x = 10;
  for (const group of panel.groups) {
    const begin = x;
    for (const bar of group.bars) {
      parts.push(drawBar(bar, x, scale, COLOURS[series.indexOf(bar.series) % COLOURS.length] ?? '#000'));
      x += BAR;
    }
    const middle = (begin + x) / 2;
    parts.push(
      text(middle, PLOT_HEIGHT + 14, group.label, `transform="rotate(25 ${middle} ${PLOT_HEIGHT + 14})"`),
    );
    x += GROUP_GAP;
  }
  return `<g transform="translate(${LEFT} ${TOP + index * PANEL_HEIGHT})">${parts.join('')}</g>`;
}

/** The picture. */
export function drawSvg(panels: readonly Panel[]): string {
  const groups = panels[0]?.groups ?? [];
  const series = [...new Set(groups.flatMap((group) => group.bars.map((bar) => bar.series)))];
  const bars = groups.reduce((sum, group) => sum + group.bars.length * BAR + GROUP_GAP, 0);
  const width = Math.max(LEFT + bars + 120, 700);
  const height = TOP + panels.length * PANEL_HEIGHT + series.length * 18;
  const legend = series.map((name, index) => {
    const y = TOP + panels.length * PANEL_HEIGHT + index * 18;
    const swatch = `<rect x="${LEFT}" y="${y - 10}" width="12" height="12" fill="${COLOURS[index % COLOURS.length] ?? '#000'}"/>`;
    return swatch + text(LEFT + 18, y, name);
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="#fff"/>',
    ...panels.map((panel, index) => drawPanel(panel, series, index)),
    ...legend,
    '</svg>',
  ].join('\n');
}
