/** Structured logging: every line is an event with an id, defined in a catalogue. */
import { pino } from 'pino';
import type { DestinationStream, Logger } from 'pino';
import { systemClock } from '../clock/index.js';
import { coreEvents } from '../events.js';
import { LineWriter } from './lineWriter.js';
import type { LostLines } from './lineWriter.js';

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

/** Standard error is written synchronously, line by line; standard output is buffered and written asynchronously. */
const destinations: Record<LogStream, (onLost: (lost: LostLines) => void) => DestinationStream> = {
  stderr: () => pino.destination({ fd: 2, sync: true }),
  stdout: (onLost) => {
    const writer = new LineWriter(1, systemClock, onLost);
    process.on('exit', () => {
      writer.writeLast();
    });
    return writer;
  },
};

/** Creates a log that writes JSON lines. */
export function createLog(level: Level, fields: Fields = {}, stream: LogStream = 'stderr'): Log {
  const destination = destinations[stream]((lost) => {
    log.event(coreEvents.linesLost, { ...lost });
  });
  const options = { level, base: { pid: process.pid, ...fields }, timestamp: pino.stdTimeFunctions.isoTime };
  const log = toLog(pino(options, destination));
  return log;
}

/** Discards all events; for tests. */
export const silentLog: Log = {
  event: () => undefined,
  with: () => silentLog,
};
