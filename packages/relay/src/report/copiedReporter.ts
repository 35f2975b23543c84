/** Stores records of this entry at several control instances. */
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import type { Report, ReportSender, ReportStream } from '@jasmineroute/knowledge';

/** Shortest interval between two reports, milliseconds: a record is sent at once unless others were sent just before. */
const MIN_INTERVAL_MS = 10;

/** Interval between two checks whether the report stream has changed, milliseconds. */
const REVIEW_INTERVAL_MS = 1_000;

/** Pause while no control instance accepts reports, milliseconds. */
const RETRY_MS = 100;

/** Dependencies of the reporter. */
export interface CopiedReporterParts<T> {
  /** One for each copy, each to another control instance. */
  readonly senders: readonly ReportSender[];
  /** All records that this entry holds. */
  readonly held: () => T[];
  /** The report of some records. */
  readonly reportOf: (records: T[]) => Report;
  readonly clock: Clock;
}

/** Keeps as many copies of each record as there are senders, so that a lost control instance loses none. */
export class CopiedReporter<T> {
  private readonly copies: readonly ReportedCopy<T>[];

  constructor(parts: CopiedReporterParts<T>) {
    this.copies = parts.senders.map((sender) => new ReportedCopy(sender, parts));
  }

  report(record: T): void {
    for (const copy of this.copies) copy.add(record);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    await Promise.all(this.copies.map((copy) => copy.run()));
  }

  stop(): void {
    for (const copy of this.copies) copy.stop();
  }
}

/** One copy, at the control instance of one report stream. */
class ReportedCopy<T> {
  private queued: T[] = [];
  /** Stream on which all records held so far were sent. */
  private stream: ReportStream | undefined;
  private readonly changes = new ChangeSignal();
  private readonly stopped = new AbortController();

  constructor(
    private readonly sender: ReportSender,
    private readonly parts: CopiedReporterParts<T>,
  ) {}

  add(record: T): void {
    // Without a stream, the next one gets everything that is held.
    if (this.stream === undefined) return;
    this.queued.push(record);
    this.changes.raise();
  }

  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const stream = await this.sender.openStream();
      if (stream === undefined) this.stream = undefined;
      else this.sendOn(stream);
      const pauseMs = stream === undefined ? RETRY_MS : MIN_INTERVAL_MS;
      await clock.sleep(pauseMs, signal).catch(() => undefined);
      if (stream !== undefined && this.queued.length === 0)
        await this.changes.wait(clock, REVIEW_INTERVAL_MS, signal);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Sends what is new; on a new stream everything, as reports on a lost one may not have arrived. */
  private sendOn(stream: ReportStream): void {
    const { held, reportOf } = this.parts;
    const records = stream === this.stream ? this.queued : held();
    this.queued = [];
    this.stream = stream;
    if (records.length > 0) stream.send(reportOf(records));
  }
}
