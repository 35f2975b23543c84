/** Standard streams and files as a port, so that tests run commands without a process. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';

/** Name that stands for standard input where a file is asked for. */
export const STANDARD_INPUT = '-';

/** What a command reads and writes. */
export interface Terminal {
  /** Writes results. */
  out(text: string): void;
  /** Writes faults and warnings. */
  error(text: string): void;
  /** Reads a file, or standard input for "-". @throws Error when it can't be read. */
  read(file: string): Promise<string>;
}

/** The streams of this process. */
export const processTerminal: Terminal = {
  out: (content) => {
    process.stdout.write(content);
  },
  error: (content) => {
    process.stderr.write(content);
  },
  read: (file) => (file === STANDARD_INPUT ? text(process.stdin) : readFile(file, 'utf8')),
};

/**
 * A terminal that never writes `secret`. Faults can quote what was sent, as when a server echoes a request in
 * its error; the key would then stand in a shell's scroll-back or in the log of a CI job.
 */
export function redacting(terminal: Terminal, secret: string): Terminal {
  const escaped = JSON.stringify(secret).slice(1, -1);
  const clean = (content: string): string => content.replaceAll(secret, '***').replaceAll(escaped, '***');
  return {
    out: (content) => {
      terminal.out(clean(content));
    },
    error: (content) => {
      terminal.error(clean(content));
    },
    read: (file) => terminal.read(file),
  };
}
