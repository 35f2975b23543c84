// Installs and builds what is missing, starts a whole system on loopback, sends real traffic, prints what
// happened and stops cleanly. With --stay it stays up until Ctrl-C.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

function run(command, args) {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
}

if (!existsSync('node_modules/.package-lock.json'))
  run('npm', ['ci', '--no-fund', '--no-audit', '--loglevel', 'error']);
run('npx', ['tsc', '-b']);
const { quickstart } = await import('./quickstart/system.mjs');
await quickstart(process.argv.includes('--stay'));
