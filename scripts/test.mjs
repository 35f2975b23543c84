// Format, lint, types, build, generated pages and tests, one after the other; ends with "N passed, N failed".
// Tests named in KNOWN-RED.txt may fail: they are printed and do not count as failed.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, rmSync, mkdirSync } from 'node:fs';

const REPORT = '.bench/tests.json';
const KNOWN_RED = 'KNOWN-RED.txt';
/** Entries that begin so name a day that was played, which is no test. */
const PLAYED = 'played day ';

const steps = [
  ['types and build', ['npx', 'tsc', '-b']],
  ['format', ['npx', 'prettier', '--check', '.']],
  ['lint', ['npx', 'eslint', '.', '--max-warnings', '0']],
  ['generated pages', ['node', 'scripts/pages.mjs', '--check']],
];

function run(command) {
  return spawnSync(command[0], command.slice(1), { stdio: 'inherit' }).status === 0;
}

function knownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => line.split(' | ')[0].trim());
}

function install() {
  if (existsSync('node_modules/.package-lock.json')) return true;
  return run(['npm', 'ci', '--no-fund', '--no-audit', '--loglevel', 'error']);
}

function readTests() {
  if (!existsSync(REPORT))
    return { passed: 0, failed: ['the test runner wrote no report'], red: [], unlisted: [], gone: [] };
  const report = JSON.parse(readFileSync(REPORT, 'utf8'));
  const tests = report.testResults.flatMap((file) => file.assertionResults);
  const broken = report.testResults.filter(
    (file) => file.status === 'failed' && file.assertionResults.length === 0,
  );
  const failures = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
  const listed = knownRed();
  const passing = new Set(tests.filter((test) => test.status === 'passed').map((test) => test.fullName));
  const isTest = (name) => passing.has(name) || failures.includes(name);
  return {
    passed: tests.filter((test) => test.status === 'passed').length,
    // The list stays true only if what is mended, and what is gone, is told.
    unlisted: listed.filter((name) => passing.has(name)),
    gone: listed.filter((name) => !name.startsWith(PLAYED) && !isTest(name)),
    failed: [...failures.filter((name) => !listed.includes(name)), ...broken.map((file) => file.name)],
    red: failures.filter((name) => listed.includes(name)),
  };
}

if (!install()) {
  console.log('0 passed, 1 failed');
  process.exit(1);
}
mkdirSync('.bench', { recursive: true });
rmSync(REPORT, { force: true });

const failedSteps = [];
for (const [name, command] of steps) {
  console.log(`== ${name}`);
  if (!run(command)) failedSteps.push(name);
}
console.log('== tests');
const clean = run([
  'npx',
  'vitest',
  'run',
  '--reporter=default',
  '--reporter=json',
  `--outputFile.json=${REPORT}`,
]);
const { passed, failed, red, unlisted, gone } = readTests();
for (const name of red) console.log(`known red: ${name}`);
for (const name of unlisted) console.log(`known red passes now, take it off the list: ${name}`);
for (const name of gone) console.log(`known red names no test: ${name}`);
for (const name of failed) console.log(`failed: ${name}`);
for (const name of failedSteps) console.log(`failed step: ${name}`);
// A runner that ends badly although every test passed met an error outside the tests.
const unexplained = !clean && failed.length === 0 && red.length === 0 ? 1 : 0;
if (unexplained === 1) console.log('failed: an error outside the tests');
const count = failed.length + failedSteps.length + unexplained + gone.length;
console.log(`${passed + steps.length - failedSteps.length} passed, ${count} failed`);
process.exit(count === 0 ? 0 : 1);
