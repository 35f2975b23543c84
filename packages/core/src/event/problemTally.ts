/** Counts problems that may come any number of times, and logs them with a bounded number of lines. */
import type { EventKind, Log } from './event.js';

/** Sources that are told apart; what comes from others is counted together. A line and 100 bytes each. */
const MOST_SOURCES = 1_000;

/** Source under which the rest is counted. */
const OTHERS = 'others';

/** Digits of a count: it grows when a count reaches 1, 10, 100 and so on. */
const digitsOf = (count: number): number => (count === 0 ? 0 : String(count).length);

/**
 * The first problem of a source is logged with its reason, then the tenth, the hundredth and so on, each with the count. A
 * writer that sends what can't be read ten times a second would fill the log otherwise, and hide what else happens.
 */
export class ProblemTally {
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly log: Log,
    private readonly event: EventKind,
  ) {}

  /** Problems came from a source, an address or a name: the reason of the first, and how many. */
  note(source: string, problem: string, more = 1): void {
    const isTold = this.counts.has(source) || this.counts.size < MOST_SOURCES;
    const key = isTold ? source : OTHERS;
    const before = this.countOf(key);
    const count = before + more;
    this.counts.set(key, count);
    if (digitsOf(count) > digitsOf(before)) this.log.event(this.event, { source: key, problem, count });
  }

  /** Problems of a source so far. */
  countOf(source: string): number {
    return this.counts.get(source) ?? 0;
  }
}
