/** Reports which parts the target beside this process has in its cache. */
import { create } from '@bufbuild/protobuf';
import { ProblemTally } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import type { ReportSender, ReportStream } from '@jasmineroute/knowledge';
import { CachedParts, controlMessage } from '@jasmineroute/protocol';
import type { CacheUpdate } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';
import { intervalFactor } from './pollInterval.js';

/** Time for which the target may hold a call until its cache changes, milliseconds. */
const LONG_POLL_MS = 500;

/** Additional time for the answer, milliseconds: the target runs on the same instance. */
const ANSWER_TIMEOUT_MS = 400;

/**
 * Pause between two calls, milliseconds, so that changes are sent in batches, and the largest factor by which it grows with
 * the number of entries. The target itself reports changes with a delay.
 */
const BATCH_MS = 60;
const MAX_INTERVAL_FACTOR = 4;

/** Pause before a retry when the target did not answer, milliseconds. */
const RETRY_DELAY_MS = 500;

/**
 * Interval of full reports, milliseconds: a control instance that has restarted between two reports has only the changes
 * since, and nothing else shows that.
 */
const FULL_REPORT_INTERVAL_MS = 5_000;

/** Longest interval between two reports, milliseconds: a control instance drops a target's cache 5 s after its last report. */
const REPORT_INTERVAL_MS = 1_500;

/** The last report that was sent. */
interface SentReport {
  /** Stream of the report. A control instance at the other end of a new stream needs a full report. */
  readonly stream: ReportStream | undefined;
  /** Position of the last change that was sent. */
  readonly position: number;
  readonly at: number;
  readonly fullAt: number;
}

const NONE_SENT: SentReport = {
  stream: undefined,
  position: 0,
  at: Number.NEGATIVE_INFINITY,
  fullAt: Number.NEGATIVE_INFINITY,
};

/** Dependencies of the reporter. */
export interface CacheReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  readonly sender: ReportSender;
  /** Number of entries that serve now. */
  readonly entries: () => number;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Reports go to one control instance, which relays them to all entries. Under load a cache turns over within seconds, so the
 * target that processed a part last may have evicted it; a request that goes where its parts are cached needs neither a
 * transfer from the store nor a second prefill.
 */
export class CacheReporter {
  private readonly stopped = new AbortController();
  private readonly kept = new CachedParts();
  private lastNews: CacheUpdate | undefined;
  private isAnswering = true;
  private sent = NONE_SENT;
  private readonly unreadable: ProblemTally;

  constructor(private readonly parts: CacheReporterParts) {
    this.unreadable = new ProblemTally(parts.log, rolloutEvents.unreadableEvents);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isAnswered = await this.poll();
      const batchMs = BATCH_MS * intervalFactor(this.parts.entries(), MAX_INTERVAL_FACTOR);
      await clock.sleep(isAnswered ? batchMs : RETRY_DELAY_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Requests cache changes from the target once and reports them. @returns whether it answered. */
  async poll(): Promise<boolean> {
    const { address, port } = this.parts;
    const since = this.lastNews?.next ?? 0;
    const answer = await port.cacheNews(since, LONG_POLL_MS, LONG_POLL_MS + ANSWER_TIMEOUT_MS).then(
      (news) => ({ news, problem: 'the target has too many open calls' }),
      (problem: unknown) => ({ news: undefined, problem: String(problem) }),
    );
    this.updateAnswering(answer.news !== undefined, answer.problem);
    if (answer.news === undefined) return false;
    const { unread } = answer.news;
    if (unread !== undefined) this.unreadable.record(address, unread.problem, unread.count);
    this.lastNews = this.kept.applyUpdate(address, answer.news, this.lastNews);
    await this.report();
    return true;
  }

  /** Logs once each when the target stops to report its cache and when it resumes. Control drops the cache soon after. */
  private updateAnswering(isAnswering: boolean, problem: string): void {
    if (isAnswering === this.isAnswering) return;
    this.isAnswering = isAnswering;
    const { address, log } = this.parts;
    if (isAnswering) log.event(rolloutEvents.cacheAnswering, { address });
    else log.event(rolloutEvents.cacheSilent, { address, problem });
  }

  /** Sends the changes on the stream of the last report, or a full report on a new stream. */
  private async report(): Promise<void> {
    const { address, clock, sender } = this.parts;
    const position = this.kept.position();
    const now = clock.monotonic();
    const { sent } = this;
    const isUpToDate = sent.stream?.isOpen === true && sent.position === position;
    if (isUpToDate && now - sent.at <= REPORT_INTERVAL_MS) return;
    const isFullDue = now - sent.fullAt > FULL_REPORT_INTERVAL_MS;
    const isFull = (stream: ReportStream): boolean => isFullDue || stream !== sent.stream;
    const stream = await sender.send((to) => {
      const changes = this.kept.changesSince(isFull(to) ? 0 : sent.position);
      const value = create(controlMessage.TargetCacheSchema, { address, changes });
      return { case: 'cache', value };
    });
    if (stream === undefined) return;
    this.sent = { stream, position, at: now, fullAt: isFull(stream) ? now : sent.fullAt };
  }
}
