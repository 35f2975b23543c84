/**
 * Benchmarks of the directory: propagation of changes, catch-up, cost of a watcher, memory of a view, detection of
 * failures.
 * `node packages/directory/dist/bench/feed.js [--json] [spread] [faults] [catch-up] [idle] [heap] [detect]`
 */
import { measureDetection } from './detect.js';
import { measureHeap } from './heap.js';
import { measureIdle } from './idle.js';
import { measureCatchUp, measureFaults, measureSpread } from './spread.js';
import type { Measure } from './measure.js';

const parts: Readonly<Record<string, () => Measure[] | Promise<Measure[]>>> = {
  heap: measureHeap,
  spread: measureSpread,
  faults: measureFaults,
  'catch-up': measureCatchUp,
  idle: measureIdle,
  detect: measureDetection,
};

async function run(words: readonly string[]): Promise<Measure[]> {
  const wanted = words.filter((word) => Object.hasOwn(parts, word));
  const measures: Measure[] = [];
  for (const [name, part] of Object.entries(parts)) {
    if (wanted.length === 0 || wanted.includes(name)) measures.push(...(await part()));
  }
  return measures;
}

function tableOf(measures: readonly Measure[]): string {
  const width = Math.max(...measures.map(({ name }) => name.length));
  const row = ({ name, value, unit }: Measure): string =>
    `${name.padEnd(width)}  ${value.toFixed(value < 100 ? 2 : 0).padStart(10)} ${unit}`;
  return measures.map(row).join('\n');
}

const words = process.argv.slice(2);
const measures = await run(words);
process.stdout.write(words.includes('--json') ? `${JSON.stringify(measures)}\n` : `${tableOf(measures)}\n`);
process.exit(0);
