/** How callers' connections end: counters by cause, and log lines during a planned stop and where answers are missing. */
import { ProblemTally } from '@jasmineroute/core';
import type { Log, Metrics } from '@jasmineroute/core';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';

/** Maximum number of log lines on ends of connections in one planned stop; the counters go on. */
const MAX_LOGGED_ENDS = 64;

/**
 * Who ended a connection and why. This side: `idle`, after its last answer (`answered`), for input that is not valid HTTP
 * (`invalid-input`), at the end of a stop or of its time (`forced`), or in the middle of an answer that its caller did not
 * read (`cut`). The caller: with a proper end (`caller`) or a reset (`reset`).
 */
export type EndCause = 'idle' | 'answered' | 'invalid-input' | 'forced' | 'cut' | 'caller' | 'reset';

const CALLER_CAUSES: ReadonlySet<EndCause> = new Set<EndCause>(['caller', 'reset']);

/** The end of one connection. */
export interface ConnectionEnd {
  readonly cause: EndCause;
  /** Answers that were not complete. */
  readonly unfinishedAnswers: number;
  /** Requests of these whose turn had not come: they did not run. */
  readonly unhandledRequests: number;
  /** Bytes that the system had not taken when the end began. */
  readonly unsentBytes: number;
  /** Bytes that the caller sent after the end had begun, as far as they were read. */
  readonly lateBytes: number;
  /** Time from the beginning of the end until the connection was closed, milliseconds. */
  readonly closingMs: number;
}

/** Counts and logs the ends of connections. */
export class ConnectionEnds {
  private readonly counts = new Map<EndCause, number>();
  private logged = 0;
  private readonly unanswered: ProblemTally;

  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {
    this.unanswered = new ProblemTally(log, entryEvents.endedUnanswered);
  }

  /** Records the end of a connection. */
  record(end: ConnectionEnd, isStopping: boolean): void {
    const { cause } = end;
    this.metrics.count(entryMetrics.connectionEnds, 1, { cause });
    this.recordUnanswered(end);
    if (!isStopping) return;
    this.counts.set(cause, (this.counts.get(cause) ?? 0) + 1);
    if (this.logged >= MAX_LOGGED_ENDS) return;
    this.logged += 1;
    this.log.event(entryEvents.connectionEnded, { ...end });
  }

  private recordUnanswered({ cause, unfinishedAnswers, unhandledRequests }: ConnectionEnd): void {
    const handled = Math.max(0, unfinishedAnswers - unhandledRequests);
    if (handled + unhandledRequests === 0) return;
    this.metrics.count(entryMetrics.unanswered, unhandledRequests, { cause, handled: 'no' });
    this.metrics.count(entryMetrics.unanswered, handled, { cause, handled: 'yes' });
    if (CALLER_CAUSES.has(cause)) return;
    this.unanswered.record(cause, `${handled} requests were handled, ${unhandledRequests} were not`);
  }

  /** Ends since the beginning of the stop by cause. */
  get totals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
