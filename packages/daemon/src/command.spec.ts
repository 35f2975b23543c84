import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const program = fileURLToPath(new URL('../dist/main.js', import.meta.url));

const run = (args: readonly string[], env: Record<string, string> = {}) =>
  spawnSync(process.execPath, [program, ...args], { env: { ...process.env, ...env }, encoding: 'utf8' });

const lines = (text: string): string[] => text.split('\n').filter((line) => line !== '');

describe('jasminerouted', () => {
  it.each([
    [['--role', 'butler', '--name', 'a'], '--role'],
    [['--role', 'entry', '--name', 'Not A Name'], '--name'],
    [['--role', 'entry', '--name', 'a', '--port', '70000'], '--port'],
    [['--role', 'entry', '--name', 'a', '--controls', 'nonsense'], '--controls'],
    [['--role', 'entry', '--name', 'a', '--http-port', 'x'], '--http-port'],
    [['--role', 'agent', '--name', 'a', '--service', 'lm', '--target-url', 'ftp://x'], '--target-url'],
    [['--role', 'control', '--name', 'a', '--replicas', '?'], '--replicas'],
    [['--role', 'entry', '--name', 'a', '--tls-key', 'only-this'], '--tls-certificate'],
  ])('ends with code 2 and one line for %j', (args, named) => {
    const { status, stderr } = run(args);
    expect(status).toBe(2);
    expect(lines(stderr)).toHaveLength(1);
    expect(stderr).toContain(named);
  });

  it('takes settings from the environment and names the variable', () => {
    const { status, stderr } = run([], {
      JASMINEROUTE_ROLE: 'entry',
      JASMINEROUTE_NAME: 'x',
      JASMINEROUTE_PORT: '-1',
    });
    expect(status).toBe(2);
    expect(stderr).toContain('--port (JASMINEROUTE_PORT) is "-1"');
  });

  it('ends with code 2 for a flag that there is not', () => {
    const { status, stderr } = run(['--role', 'entry', '--nmae', 'x']);
    expect(status).toBe(2);
    expect(stderr).toContain('--nmae');
  });

  it('explains the settings of a role', () => {
    const { status, stdout } = run(['--help', '--role', 'entry']);
    expect(status).toBe(0);
    expect(stdout).toContain('JASMINEROUTE_DRAIN_DELAY_MS');
  });
});
