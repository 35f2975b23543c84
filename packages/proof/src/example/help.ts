/** What the programs say of their own flags and variables. */
import { spawnSync } from 'node:child_process';
import { programs } from '@jasmineroute/testkit';

/** How a program ended. */
export interface Ended {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Environment without settings of the shell that runs the tests. */
export const cleanEnvironment = (): NodeJS.ProcessEnv =>
  Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith('JASMINEROUTE_')));

/** Runs one of the system's programs to its end. */
export function runProgram(program: 'ctl' | 'daemon', args: readonly string[]): Ended {
  const options = { env: cleanEnvironment(), encoding: 'utf8' as const, timeout: 20_000 };
  const { status, stdout, stderr } = spawnSync(process.execPath, [programs[program], ...args], options);
  return { code: status, stdout, stderr };
}

const known = new Map<string, string>();

/** Help text of a program with these arguments; each is asked for once. */
export function helpOf(program: 'ctl' | 'daemon', args: readonly string[]): string {
  const key = [program, ...args].join(' ');
  const text = known.get(key) ?? runProgram(program, [...args, '--help']).stdout;
  known.set(key, text);
  return text;
}

/** Flags that a help text lists as options; examples in it don't count. */
export const flagsIn = (help: string): string[] =>
  [...help.matchAll(/^ {2}(?:-\w, )?(--[a-z][a-z-]*)/gm)].map((match) => match[1] ?? '');

/** Environment variables that a help text names, also over a line break. */
export const variablesIn = (help: string): string[] => help.match(/JASMINEROUTE_[A-Z_]+/g) ?? [];
