/** Counts problems that may occur any number of times, and logs them with a bounded number of lines. */
import type { EventKind, Log } from './event.js';

/** Sources that are counted separately, at a log line and 100 bytes each; further ones are counted together. */
const MAX_SOURCES = 1_000;

/** Source under which further sources are counted. */
const OTHER_SOURCES = 'others';

/** Number of digits of a count; it increases when the count reaches 1, 10, 100 and so on. */
const digitsOf = (count: number): number => (count === 0 ? 0 : String(count).length);

/**
 * Logs the first problem of a source with its reason, then the tenth, the hundredth and so on, each with the count.
 * Otherwise a client that sends unreadable data ten times a second would fill the log and hide other events.
 */
export class ProblemTally {
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly log: Log,
    private readonly event: EventKind,
  ) {}

  /**
   * Records problems.
   * @param source address or name that they come from
   * @param problem reason of the first one
   * @param added number of problems
   */
  record(source: string, problem: string, added = 1): void {
    const isTracked = this.counts.has(source) || this.counts.size < MAX_SOURCES;
    const key = isTracked ? source : OTHER_SOURCES;
    const before = this.countOf(key);
    const count = before + added;
    this.counts.set(key, count);
    if (digitsOf(count) > digitsOf(before)) this.log.event(this.event, { source: key, problem, count });
  }

  /** Number of problems of a source so far. */
  countOf(source: string): number {
    return this.counts.get(source) ?? 0;
  }
}
