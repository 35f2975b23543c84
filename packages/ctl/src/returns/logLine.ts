/** Lines of the logs of processes: numbered events, as docs/EVENTS.md lists them. */
import * as z from 'zod';

/** Events that tell how a return went; their fields stand in docs/OPERATIONS.md. */
export const eventIds = {
  folderOpened: 2000,
  candidacy: 2004,
  leading: 2005,
  steppedDown: 2006,
  inContact: 2013,
  streamOpened: 3018,
  readRefused: 3030,
  readAnswered: 3031,
  started: 7001,
  draining: 7002,
  memoryPeak: 7008,
  stalled: 7009,
  confirmed: 8111,
} as const;

const logLine = z.looseObject({
  time: z.iso.datetime().transform((text) => Date.parse(text)),
  pid: z.number(),
  role: z.string(),
  name: z.string(),
  event: z.number(),
  ms: z.number().optional(),
  message: z.string().optional(),
  term: z.string().optional().catch(undefined),
  reason: z.string().optional().catch(undefined),
  residentMb: z.number().optional(),
  anonymousMb: z.number().optional(),
});

/** One line; `time`: Unix milliseconds by the clock of its machine. */
export type LogLine = z.output<typeof logLine>;

/** Reads lines of JSON, also with something before them on the line, as a collector writes it; others are left out. */
export function parseLog(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const parsed = logLine.safeParse(parseJson(line.slice(line.indexOf('{'))));
    return parsed.success ? [parsed.data] : [];
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
