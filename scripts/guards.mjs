// Shows that the proofs can fail: takes one guard out at a time, on a copy under the system's temporary folder,
// and runs the proof that must then fail. Prints a table; exits 1 when a proof passes without its guard.
// `node scripts/guards.mjs [part of a guard's name]`
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, relative, resolve } from 'node:path';
import { guards } from './guards/list.mjs';

const SKIPPED = new Set(['.git', '.quickstart', '.bench', 'node_modules']);

function copyTree() {
  const copy = mkdtempSync(join(tmpdir(), 'jasmineroute-guards-'));
  const root = resolve('.');
  cpSync(root, copy, { recursive: true, filter: (path) => !SKIPPED.has(relative(root, path)) });
  // Modules of others are shared; the workspace's own must be those of the copy.
  cpSync('node_modules/@jasmineroute', join(copy, 'node_modules/@jasmineroute'), {
    recursive: true,
    verbatimSymlinks: true,
  });
  linkModules(root, copy);
  return copy;
}

function linkModules(root, copy) {
  const entries = spawnSync('ls', ['-A', join(root, 'node_modules')], { encoding: 'utf8' }).stdout.split(
    '\n',
  );
  for (const entry of entries) {
    if (entry === '' || entry === '@jasmineroute') continue;
    symlinkSync(join(root, 'node_modules', entry), join(copy, 'node_modules', entry));
  }
}

function edit(copy, { file, find, put }) {
  const path = join(copy, file);
  const before = readFileSync(path, 'utf8');
  if (!before.includes(find)) throw new Error(`${file} does not hold the guard: ${find.trim()}`);
  writeFileSync(
    path,
    before.replace(find, () => put),
  );
  return () => writeFileSync(path, before);
}

function passes(copy, { spec, test }) {
  const args = ['vitest', 'run', spec, '-t', test, '--reporter=json', '--outputFile=.guards.json'];
  spawnSync('npx', args, { cwd: copy, stdio: 'ignore' });
  const report = JSON.parse(readFileSync(join(copy, '.guards.json'), 'utf8'));
  return { passed: report.numPassedTests, failed: report.numFailedTests };
}

function build(copy) {
  const { status, stdout } = spawnSync('npx', ['tsc', '-b'], { cwd: copy, encoding: 'utf8' });
  if (status !== 0) throw new Error(`the copy does not build:\n${stdout}`);
}

function tryGuard(copy, guard) {
  const undo = [guard, ...(guard.also === undefined ? [] : [guard.also])].map((change) => edit(copy, change));
  try {
    build(copy);
    return passes(copy, guard);
  } finally {
    for (const restore of undo) restore();
  }
}

const wanted = process.argv[2] ?? '';
const copy = copyTree();
let broken = 0;
try {
  for (const guard of guards.filter(({ name }) => name.includes(wanted))) {
    let verdict;
    try {
      const { passed, failed } = tryGuard(copy, guard);
      verdict = failed > 0 ? 'fails without it' : `STILL PASSES (${passed} passed)`;
    } catch (error) {
      verdict = `NOT TRIED: ${error.message}`;
    }
    if (verdict !== 'fails without it') broken += 1;
    console.log(`${verdict.padEnd(18)} | ${guard.name} | ${guard.spec}: ${guard.test}`);
  }
} finally {
  rmSync(copy, { recursive: true, force: true });
}
process.exit(broken === 0 ? 0 : 1);
