/** Structured logging: every line is an event with an id, defined in a catalogue. */
import { pino } from 'pino';
import type { Logger } from 'pino';

/** Severity of an event. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** One kind of event. Ids are unique across all packages and are never reused. */
export interface EventKind {
  readonly id: number;
  readonly level: Level;
  readonly message: string;
}

/** Fields of one logged event. */
export type Fields = Readonly<Record<string, unknown>>;

/** Port for logging. */
export interface Log {
  /** Logs one event. */
  event(kind: EventKind, fields?: Fields): void;
  /** A log that adds `fields` to each event. */
  with(fields: Fields): Log;
}

/** Declares a package's catalogue: name to kind. */
export function defineEvents<const T extends Record<string, EventKind>>(catalogue: T): T {
  return catalogue;
}

const toLog = (logger: Logger): Log => ({
  event: (kind, fields) => {
    logger[kind.level]({ event: kind.id, ...fields }, kind.message);
  },
  with: (fields) => toLog(logger.child(fields)),
});

/** Streams that log lines can go to. */
export type LogStream = 'stderr' | 'stdout';

/** Bytes that are buffered before a write to standard output, and the longest time that they wait, milliseconds. */
const BUFFER_BYTES = 4_096;
const FLUSH_INTERVAL_MS = 250;

/** Bytes that may be pending for a slow reader of standard output; more are dropped, so that logging never blocks work. */
const MAX_PENDING_BYTES = 1_048_576;

/** Standard error is written synchronously, line by line; standard output is buffered and written asynchronously. */
const destinations: Record<LogStream, () => ReturnType<typeof pino.destination>> = {
  stderr: () => pino.destination({ fd: 2, sync: true }),
  stdout: () => {
    const destination = pino.destination({
      fd: 1,
      sync: false,
      minLength: BUFFER_BYTES,
      periodicFlush: FLUSH_INTERVAL_MS,
      maxLength: MAX_PENDING_BYTES,
    });
    process.on('exit', () => {
      destination.flushSync();
    });
    return destination;
  },
};

/** Creates a log that writes JSON lines. */
export function createLog(level: Level, fields: Fields = {}, stream: LogStream = 'stderr'): Log {
  return toLog(
    pino(
      { level, base: { pid: process.pid, ...fields }, timestamp: pino.stdTimeFunctions.isoTime },
      destinations[stream](),
    ),
  );
}

/** Discards all events; for tests. */
export const silentLog: Log = {
  event: () => undefined,
  with: () => silentLog,
};
