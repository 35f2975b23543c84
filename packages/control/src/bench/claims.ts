/**
 * What claims and documents cost: `node packages/control/dist/bench/claims.js [memory|speed]`.
 * Three instances and the callers share one process and one core here.
 */
import { measureMemory } from './memory.js';
import { measureSpeed } from './speed.js';

const parts = { memory: measureMemory, speed: measureSpeed } as const;

const wanted = process.argv[2];

for (const [name, measure] of Object.entries(parts)) {
  if (wanted !== undefined && wanted !== name) continue;
  const rows = await measure();
  process.stdout.write(`${rows.join('\n')}\n\n`);
}
