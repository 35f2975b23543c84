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

/** JSON lines on standard error, written at once. */
export function createLog(level: Level, fields: Fields = {}): Log {
  const destination = pino.destination({ fd: 2, sync: true });
  return wrap(
    pino(
      { level, base: { pid: process.pid, ...fields }, timestamp: pino.stdTimeFunctions.isoTime },
      destination,
    ),
  );
}

/** Drops everything; for tests. */
export const silentLog: Log = {
  event: () => undefined,
  with: () => silentLog,
};
