/** Counts of executions, by which a checker proves that nothing ran twice. A file keeps them over a crash. */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import * as z from 'zod';

const line = z.object({ id: z.string(), nonce: z.string(), at: z.number() });

/** One execution: work on a request that has begun. */
export type Execution = z.output<typeof line>;

/** Reads a file of executions. A torn last line is left out. */
export function readExecutions(file: string): Execution[] {
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((text) => text.endsWith('}'))
    .map((text) => line.parse(JSON.parse(text)));
}

/** Executions of one stand-in. */
export class ExecutionLedger {
  private readonly ids = new Map<string, number>();
  private readonly nonces = new Map<string, number>();

  /** @param file appended to, or empty for none. */
  constructor(private readonly file: string) {
    if (file !== '') for (const execution of readExecutions(file)) this.count(execution);
  }

  /** Records the begin of work. The file is written before the work does anything. */
  record(id: string, nonce: string, at: Date): void {
    const execution = { id, nonce, at: at.getTime() };
    this.count(execution);
    if (this.file !== '') appendFileSync(this.file, `${JSON.stringify(execution)}\n`);
  }

  /** Counts by request id and by nonce. */
  report(): { requests: Record<string, number>; nonces: Record<string, number> } {
    return { requests: Object.fromEntries(this.ids), nonces: Object.fromEntries(this.nonces) };
  }

  private count({ id, nonce }: Execution): void {
    this.ids.set(id, (this.ids.get(id) ?? 0) + 1);
    if (nonce !== '') this.nonces.set(nonce, (this.nonces.get(nonce) ?? 0) + 1);
  }
}
