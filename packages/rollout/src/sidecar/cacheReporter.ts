/** Tells what the target beside this process has in its cache. */
import { create } from '@bufbuild/protobuf';
import { ProblemTally } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import type { ReportSender, ReportStream } from '@jasmineroute/knowledge';
import { KeptParts, controlMessage } from '@jasmineroute/protocol';
import type { CacheNews } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';
import { timesFor } from './pollInterval.js';

/** How long the target may hold a call until it has news, milliseconds. */
const WAIT_MS = 500;

/** Time beyond that for the answer, milliseconds: it comes from the same instance. */
const ANSWER_MS = 400;

/**
 * Pause between two calls, milliseconds, so that some changes go out together, and how many times as long it gets where many
 * entries hear it. The target tells its own late.
 */
const GATHER_MS = 60;
const MOST_TIMES = 4;

/** Pause before a target that did not answer is called again, milliseconds. */
const PAUSE_MS = 500;

/**
 * A control instance is told all of it at least so often, milliseconds: one that restarted between two calls knows only
 * what changed since, and nothing else shows that.
 */
const WHOLE_MS = 5_000;

/** A control instance is told at least so often, milliseconds: it believes what it was told for 5 s. */
const REPEAT_MS = 1_500;

/** What was told last, and when. */
interface Told {
  /** The control instance at the other end of another one knows nothing of what was told on this one. */
  readonly stream: ReportStream | undefined;
  /** Place of the last change that was told. */
  readonly place: number;
  readonly at: number;
  readonly wholeAt: number;
}

const NOT_TOLD: Told = {
  stream: undefined,
  place: 0,
  at: Number.NEGATIVE_INFINITY,
  wholeAt: Number.NEGATIVE_INFINITY,
};

/** What the reporter works with. */
export interface CacheReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  readonly sender: ReportSender;
  /** Entries that serve now. */
  readonly entries: () => number;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * One control instance is told, which tells all entries. Under load a cache turns over within seconds, so where a part was
 * read last says little; a request that goes where its parts are costs neither the store's link nor a second reading.
 */
export class CacheReporter {
  private readonly stopped = new AbortController();
  private readonly kept = new KeptParts();
  private last: CacheNews | undefined;
  private isHeard = true;
  private told = NOT_TOLD;
  private readonly unreadable: ProblemTally;

  constructor(private readonly parts: CacheReporterParts) {
    this.unreadable = new ProblemTally(parts.log, rolloutEvents.unreadableEvents);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isHeard = await this.look();
      const gatherMs = GATHER_MS * timesFor(this.parts.entries(), MOST_TIMES);
      await clock.sleep(isHeard ? gatherMs : PAUSE_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Asks the target once and tells what is new. @returns whether it answered. */
  async look(): Promise<boolean> {
    const { address, port } = this.parts;
    const since = this.last?.next ?? 0;
    const told = await port.cacheNews(since, WAIT_MS, WAIT_MS + ANSWER_MS).then(
      (news) => ({ news, problem: 'too many calls wait there' }),
      (problem: unknown) => ({ news: undefined, problem: String(problem) }),
    );
    this.note(told.news !== undefined, told.problem);
    if (told.news === undefined) return false;
    const { unread } = told.news;
    if (unread !== undefined) this.unreadable.note(address, unread.problem, unread.count);
    this.last = this.kept.take(address, told.news, this.last);
    await this.tell();
    return true;
  }

  /** Logs the loss of the target's news, and its return, once each. Control forgets the cache soon after the loss. */
  private note(isHeard: boolean, problem: string): void {
    if (isHeard === this.isHeard) return;
    this.isHeard = isHeard;
    const { address, log } = this.parts;
    if (isHeard) log.event(rolloutEvents.cacheHeard, { address });
    else log.event(rolloutEvents.cacheUnheard, { address, problem });
  }

  /** Tells what is new to the control instance that knows the rest already, or else all of it to another one. */
  private async tell(): Promise<void> {
    const { address, clock, sender } = this.parts;
    const place = this.kept.place();
    const now = clock.monotonic();
    const { told } = this;
    const isKnown = told.stream?.isOpen === true && told.place === place;
    if (isKnown && now - told.at <= REPEAT_MS) return;
    const isDue = now - told.wholeAt > WHOLE_MS;
    const isWhole = (stream: ReportStream): boolean => isDue || stream !== told.stream;
    const stream = await sender.send((to) => {
      const changes = this.kept.since(isWhole(to) ? 0 : told.place);
      const value = create(controlMessage.TargetCacheSchema, { address, changes });
      return { case: 'cache', value };
    });
    if (stream === undefined) return;
    this.told = { stream, place, at: now, wholeAt: isWhole(stream) ? now : told.wholeAt };
  }
}
