/** A child process of a test or bench run: started, waited for, broken, and always ended. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, readFileSync, writeSync } from 'node:fs';
import { dirname } from 'node:path';
import { createInterface } from 'node:readline';
import { systemClock } from '@jasmineroute/core';
import * as z from 'zod';

/** The line that a process prints on standard output once it listens. */
const readyLine = z.looseObject({
  ready: z.literal(true),
  role: z.string(),
  name: z.string(),
  pid: z.number(),
  rpc: z.string().optional(),
  http: z.string().optional(),
});

/** Where a process listens. */
export type Ready = z.output<typeof readyLine>;

/** How to start a process. */
export interface ProcessOptions {
  readonly name: string;
  /** Script to run with this Node. */
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Standard output and error are appended here. */
  readonly logFile: string;
  readonly readyTimeoutMs?: number;
  /** Options of Node itself. */
  readonly nodeArgs?: readonly string[];
  /** Most descriptors that the process may have open; absent: as many as this one. */
  readonly maxDescriptors?: number;
}

/** How a process ended. */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Settings of the shell that runs a test must not reach the processes under test. */
function ownEnvironment(): NodeJS.ProcessEnv {
  const entries = Object.entries(process.env).filter(([name]) => !name.startsWith('JASMINEROUTE_'));
  return Object.fromEntries(entries);
}

/** Takes a limit, a program and its arguments: the limit stays with the process that becomes the program. */
const LIMITING_SHELL = ['/bin/sh', '-c', 'ulimit -n "$0" && exec "$@"'] as const;

/** Characters of a log that an error quotes: a few lines, of which the last says why a process ended. */
const QUOTED_CHARACTERS = 2_000;

const live = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of live) child.kill('SIGKILL');
});

/** One child process. */
export class ManagedProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<Exit> = Promise.resolve({ code: null, signal: null });
  private readyState: Ready | undefined;

  constructor(readonly options: ProcessOptions) {}

  /** Starts one and waits until it is ready. */
  static async start(options: ProcessOptions): Promise<ManagedProcess> {
    const managed = new ManagedProcess(options);
    await managed.start();
    return managed;
  }

  get name(): string {
    return this.options.name;
  }

  /** What it said when it came up. @throws Error before that. */
  get ready(): Ready {
    if (this.readyState === undefined) throw new Error(`${this.name} is not ready`);
    return this.readyState;
  }

  get pid(): number {
    const pid = this.child?.pid;
    if (pid === undefined) throw new Error(`${this.name} is not running`);
    return pid;
  }

  get running(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Resolves when it has ended. */
  get exit(): Promise<Exit> {
    return this.exited;
  }

  /** Starts it, after an end also again. */
  async start(extraArgs: readonly string[] = []): Promise<Ready> {
    if (this.running) throw new Error(`${this.name} runs already`);
    const { script, args, env, logFile, nodeArgs = [], readyTimeoutMs = 60_000 } = this.options;
    mkdirSync(dirname(logFile), { recursive: true });
    const log = openSync(logFile, 'a');
    const [program, ...rest] = this.limited([process.execPath, ...nodeArgs, script, ...args, ...extraArgs]);
    const child = spawn(program, rest, {
      env: { ...ownEnvironment(), ...env },
      stdio: ['ignore', 'pipe', log],
    });
    this.child = child;
    live.add(child);
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        live.delete(child);
        resolve({ code, signal });
      });
    });
    // Lines that were still in the pipe at the exit arrive before the close.
    child.once('close', () => {
      closeSync(log);
    });
    this.readyState = await this.waitUntilReady(child, log, readyTimeoutMs);
    return this.readyState;
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    if (this.running) process.kill(this.pid, signal);
  }

  /** kill -9, and waits for the end. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Planned stop: SIGTERM; kill -9 when it takes longer than the limit. Returns how it ended. */
  async stop(limitMs = 15_000): Promise<Exit> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const cancel = systemClock.after(limitMs, () => {
      this.signal('SIGKILL');
    });
    const exit = await this.exited;
    cancel();
    return exit;
  }

  /** Freezes it, as a machine does that has lost its processor. */
  pause(): void {
    this.signal('SIGSTOP');
  }

  /** Lets a frozen one go on. */
  resume(): void {
    this.signal('SIGCONT');
  }

  private limited(command: readonly [string, ...string[]]): readonly [string, ...string[]] {
    const { maxDescriptors } = this.options;
    return maxDescriptors === undefined ? command : [...LIMITING_SHELL, String(maxDescriptors), ...command];
  }

  /** Names the log and quotes its end: a test's folder may be gone when somebody reads the error. */
  private notReady(what: string): Error {
    const { logFile } = this.options;
    const lines = readFileSync(logFile, 'utf8').slice(-QUOTED_CHARACTERS);
    return new Error(`${this.name} ${what}; see ${logFile}, which ends with\n${lines}`);
  }

  private waitUntilReady(child: ChildProcess, log: number, timeoutMs: number): Promise<Ready> {
    return new Promise((resolve, reject) => {
      const { stdout } = child;
      if (stdout === null) throw new Error('no standard output');
      const cancel = systemClock.after(timeoutMs, () => {
        child.kill('SIGKILL');
        reject(this.notReady(`was not ready in ${timeoutMs} ms`));
      });
      child.once('exit', (code, signal) => {
        cancel();
        const how = signal ?? `code ${code ?? 'unknown'}`;
        reject(this.notReady(`ended with ${how} before it was ready`));
      });
      createInterface({ input: stdout }).on('line', (line) => {
        writeSync(log, `${line}\n`);
        const ready = parseReady(line);
        if (ready === undefined) return;
        cancel();
        resolve(ready);
      });
    });
  }
}

function parseReady(line: string): Ready | undefined {
  if (!line.startsWith('{')) return undefined;
  try {
    const parsed = readyLine.safeParse(JSON.parse(line));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
