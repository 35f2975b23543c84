/** What a process logged since a moment. */
import { readFile } from 'node:fs/promises';
import * as z from 'zod';

/** Level of errors in a log line. */
const ERROR_LEVEL = 50;

const logLine = z.looseObject({ level: z.number(), event: z.number() });

/** One event as it was logged. */
export type LogLine = z.output<typeof logLine>;

/** Lines of a log file that is only ever appended to. */
export class LogMark {
  private constructor(
    private readonly file: string,
    private readonly from: number,
  ) {}

  /** Marks the end of the file as it is now; a file that isn't there yet counts as empty. */
  static async set(file: string): Promise<LogMark> {
    const text = await readFile(file, 'utf8').catch(() => '');
    return new LogMark(file, text.length);
  }

  /** Text written since the mark. */
  async text(): Promise<string> {
    return (await readFile(this.file, 'utf8')).slice(this.from);
  }

  /** Events logged since the mark. */
  async events(): Promise<LogLine[]> {
    const lines = (await this.text()).split('\n').filter((line) => line.startsWith('{'));
    return lines.flatMap((line) => logLine.safeParse(JSON.parse(line)).data ?? []);
  }

  /** Errors logged since the mark. */
  async errors(): Promise<LogLine[]> {
    return (await this.events()).filter(({ level }) => level >= ERROR_LEVEL);
  }
}
