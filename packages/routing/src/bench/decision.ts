/**
 * Benchmark of routing decisions: `node packages/routing/dist/bench/decision.js [--json]`. Measures prompt hashing at
 * five lengths, decisions of each policy at four numbers of targets, and the block index at four sizes.
 */
import { parseArgs } from 'node:util';
import { measureChain } from './measureChain.js';
import { measureDecision } from './measureDecision.js';
import { measureIndex } from './measureIndex.js';
import { loadHasher } from '../prefix/index.js';
import { formatTable } from './table.js';

const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } });

await loadHasher();
const results = {
  chain: measureChain(),
  decision: await measureDecision(),
  index: measureIndex(),
};

if (values.json) {
  process.stdout.write(`${JSON.stringify(results, null, 1)}\n`);
} else {
  process.stdout.write(`${formatTable('Prompt hashing', results.chain)}\n`);
  process.stdout.write(`${formatTable('Routing decision, without network', results.decision)}\n`);
  process.stdout.write(`${formatTable('Block index', results.index)}\n`);
}
