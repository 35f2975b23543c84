/** Runs the command-line tool, as an operator does. */
import { execFile } from 'node:child_process';
import { programs } from './paths.js';

/** How a command ended. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs `jasminectl`. The key goes by environment, so that no process list shows it. */
export function runCtl(
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Promise<CommandResult> {
  return new Promise((resolve) => {
    const options = { env: { ...process.env, ...env }, timeout: 30_000 };
    execFile(process.execPath, [programs.ctl, ...args], options, (error, stdout, stderr) => {
      const code = error === null ? 0 : typeof error.code === 'number' ? error.code : 1;
      resolve({ code, stdout, stderr });
    });
  });
}
