// Measures the slopes of docs/CAPACITY.md and rewrites its tables: `npm run capacity`, after a build.
// `--only view,node` measures some parts and takes the others from the last run; `--write` only rewrites the page.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { cpus, loadavg, totalmem } from 'node:os';
import { format } from 'prettier';
import { measureClaimMemory } from './capacity/parts/claimMemory.mjs';
import { measureControl } from './capacity/parts/control.mjs';
import { measureGate } from './capacity/parts/gate.mjs';
import { measureNode } from './capacity/parts/node.mjs';
import { measureRouting } from './capacity/parts/routing.mjs';
import { measureStream } from './capacity/parts/stream.mjs';
import { measureView } from './capacity/parts/view.mjs';
import { seriesOf } from './capacity/series.mjs';
import { tables } from './capacity/tables.mjs';

const PAGE = 'docs/CAPACITY.md';
const RESULTS = '.bench/capacity.json';
const MARKED = /<!-- capacity:(\w+) -->[\s\S]*?<!-- \/capacity -->/g;

/** One after the other, so that none takes the processor from another. */
const parts = {
  view: measureView,
  node: measureNode,
  routing: measureRouting,
  claimMemory: measureClaimMemory,
  gate: measureGate,
  control: measureControl,
  stream: measureStream,
};

const git = (...args) => execFileSync('git', args, { encoding: 'utf8' }).trim();

/** After each part, so that a later one that fails loses nothing. */
function save(results) {
  mkdirSync('.bench', { recursive: true });
  writeFileSync(RESULTS, JSON.stringify(results, null, 1));
}

/** What a part was measured on. */
function runOf(began, loadBefore) {
  return {
    day: new Date().toISOString().slice(0, 10),
    commit: git('rev-parse', '--short', 'HEAD'),
    changed: git('status', '--porcelain', '--', 'packages') !== '',
    cores: cpus().length,
    memory: totalmem(),
    node: process.versions.node,
    loadBefore,
    loadAfter: loadavg()[0],
    seconds: (performance.now() - began) / 1_000,
  };
}

async function measure(names, before) {
  const results = { ...before, runs: { ...before.runs } };
  for (const name of names) {
    const [began, [load]] = [performance.now(), loadavg()];
    results[name] = await parts[name]();
    results.runs[name] = runOf(began, load);
    console.error(`${name}: ${results.runs[name].seconds.toFixed(0)} s`);
    save(results);
  }
  return results;
}

async function rewritePage(results) {
  const series = seriesOf(results);
  const text = readFileSync(PAGE, 'utf8').replace(MARKED, (whole, name) => {
    if (tables[name] === undefined) throw new Error(`${PAGE} asks for a table ${name} that there is none of`);
    return `<!-- capacity:${name} -->\n\n${tables[name](results, series)}\n\n<!-- /capacity -->`;
  });
  writeFileSync(PAGE, await format(text, { parser: 'markdown', printWidth: 110 }));
}

const [flag, value = ''] = process.argv.slice(2);
const before = existsSync(RESULTS) ? JSON.parse(readFileSync(RESULTS, 'utf8')) : {};
const wanted = flag === '--only' ? value.split(',') : flag === '--write' ? [] : Object.keys(parts);
const results = wanted.length === 0 ? before : await measure(wanted, before);
save(results);
await rewritePage(results);
process.exit(0);
