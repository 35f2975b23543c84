/**
 * Benchmarks claims and documents: `node packages/control/dist/bench/claims.js [memory|speed]`.
 * Three instances and the callers share one process and one core.
 */
import { measureMemory } from './memory.js';
import { measureSpeed } from './speed.js';

const benchmarks = { memory: measureMemory, speed: measureSpeed } as const;

const selected = process.argv[2];

for (const [name, measure] of Object.entries(benchmarks)) {
  if (selected !== undefined && selected !== name) continue;
  const rows = await measure();
  process.stdout.write(`${rows.join('\n')}\n\n`);
}
