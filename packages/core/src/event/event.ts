/** Structured logs: every line is a numbered event of a catalogue. */
import { pino } from 'pino';
import type { Logger } from 'pino';

/** Severity of an event. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** One kind of event. Ids are unique over all packages and are never given out again. */
export interface EventKind {
  readonly id: number;
  readonly level: Level;
  readonly message: string;
}

/** Fields of one logged event. */
export type Fields = Readonly<Record<string, unknown>>;

/** Where events go. */
export interface Log {
  /** Writes one event. */
  event(kind: EventKind, fields?: Fields): void;
  /** A log that adds `fields` to each event. */
  with(fields: Fields): Log;
}

/** Declares a package's catalogue: name to kind. */
export function defineEvents<const T extends Record<string, EventKind>>(catalogue: T): T {
  return catalogue;
}

const wrap = (logger: Logger): Log => ({
  event: (kind, fields) => {
    logger[kind.level]({ event: kind.id, ...fields }, kind.message);
  },
  with: (fields) => wrap(logger.child(fields)),
});

/** Streams that log lines can go to. */
export type LogStream = 'stderr' | 'stdout';

/** Bytes that are gathered before a write to standard output, and how long they wait at most, milliseconds. */
const GATHER_BYTES = 4_096;
const GATHER_MS = 250;

/** Bytes that may wait for a reader of standard output that is slow; more are dropped rather than hold up work. */
const MOST_WAITING_BYTES = 1_048_576;

/** Standard error: each line at once. Standard output: gathered, and never waited for. */
const destinations: Record<LogStream, () => ReturnType<typeof pino.destination>> = {
  stderr: () => pino.destination({ fd: 2, sync: true }),
  stdout: () => {
    const gathered = pino.destination({
      fd: 1,
      sync: false,
      minLength: GATHER_BYTES,
      periodicFlush: GATHER_MS,
      maxLength: MOST_WAITING_BYTES,
    });
    process.on('exit', () => {
      gathered.flushSync();
    });
    return gathered;
  },
};

/** JSON lines. */
export function createLog(level: Level, fields: Fields = {}, stream: LogStream = 'stderr'): Log {
  return wrap(
    pino(
      { level, base: { pid: process.pid, ...fields }, timestamp: pino.stdTimeFunctions.isoTime },
      destinations[stream](),
    ),
  );
}

/** Drops everything; for tests. */
export const silentLog: Log = {
  event: () => undefined,
  with: () => silentLog,
};
