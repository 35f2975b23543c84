/** Runs programs to their end, and tells what they say of their own flags and variables. */
import { execFile } from 'node:child_process';
import type { ExecFileOptions } from 'node:child_process';
import { programs } from '@jasmineroute/testkit';

const TIMEOUT_MS = 40_000;

/** How a program ended. */
export interface Ended {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Environment without settings of the shell that runs the tests. */
export const cleanEnvironment = (): NodeJS.ProcessEnv =>
  Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('JASMINEROUTE_')));

/** Runs a file without standard input. The links' proxy runs in this process, so nothing may block it. */
export function runFile(
  file: string,
  args: readonly string[],
  options: Pick<ExecFileOptions, 'cwd' | 'env'>,
): Promise<Ended> {
  return new Promise((resolve) => {
    const child = execFile(file, args, { ...options, timeout: TIMEOUT_MS }, (error, stdout, stderr) => {
      const code = error === null ? 0 : typeof error.code === 'number' ? error.code : -1;
      resolve({ code, stdout, stderr });
    });
    child.stdin?.end();
  });
}

/** Runs one of the system's programs. */
export const runProgram = (program: 'ctl' | 'daemon', args: readonly string[]): Promise<Ended> =>
  runFile(process.execPath, [programs[program], ...args], { env: cleanEnvironment() });

const known = new Map<string, Promise<Ended>>();

/** Help text of a program with these arguments; each is asked for once. */
export async function helpOf(program: 'ctl' | 'daemon', args: readonly string[]): Promise<string> {
  const key = [program, ...args].join(' ');
  const ended = known.get(key) ?? runProgram(program, [...args, '--help']);
  known.set(key, ended);
  return (await ended).stdout;
}

/** Flags that a help text lists as options; examples in it don't count. */
export const flagsIn = (help: string): string[] =>
  [...help.matchAll(/^ {2}(?:-\w, )?(--[a-z][a-z-]*)/gm)].map((match) => match[1] ?? '');

/** Environment variables that a help text names. */
export const variablesIn = (help: string): string[] => help.match(/JASMINEROUTE_[A-Z_]+/g) ?? [];
