/** Panels as bars of characters. */
import type { Panel } from './series.js';

const WIDTH = 50;

/** One line for each bar. */
export function drawText(panels: readonly Panel[]): string {
  const lines: string[] = [];
  for (const { title, groups } of panels) {
    const bars = groups.flatMap((group) => group.bars);
    const most = Math.max(...bars.map(({ spread }) => (Number.isFinite(spread.mean) ? spread.mean : 0)));
    const name = Math.max(...bars.map(({ series }) => series.length));
    lines.push(title);
    for (const group of groups) {
      lines.push(`  ${group.label}`);
      for (const { series, spread } of group.bars) {
        const length = Number.isFinite(spread.mean) ? Math.round((spread.mean / most) * WIDTH) : 0;
        const value = `${spread.mean.toFixed(1)} ±${spread.half.toFixed(1)}`;
        lines.push(`    ${series.padEnd(name)} ${'█'.repeat(length)} ${value}`);
      }
    }
    lines.push('');
  }
  return lines.join('\n');
}
