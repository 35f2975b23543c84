/** Stores the origins of this entry's streams at control instances. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import type { ReportSender, ReportStream } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';

/** Shortest interval between two reports, milliseconds: an origin is sent at once unless others were sent just before. */
const MIN_INTERVAL_MS = 10;

/** Interval between two checks whether the report stream has changed, milliseconds. */
const REVIEW_INTERVAL_MS = 1_000;

/** Pause while no control instance accepts reports, milliseconds. */
const RETRY_MS = 100;

/** Dependencies of the reporter. */
export interface OriginReporterParts {
  /** One for each copy, each to another control instance. */
  readonly senders: readonly ReportSender[];
  /** All origins that this entry holds. */
  readonly held: () => controlMessage.StreamOrigin[];
  readonly clock: Clock;
}

/** Keeps as many copies of each origin as there are senders, so that a lost control instance loses none. */
export class OriginReporter {
  private readonly copies: readonly OriginCopy[];

  constructor({ senders, held, clock }: OriginReporterParts) {
    this.copies = senders.map((sender) => new OriginCopy(sender, held, clock));
  }

  report(origin: controlMessage.StreamOrigin): void {
    for (const copy of this.copies) copy.add(origin);
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
class OriginCopy {
  private queued: controlMessage.StreamOrigin[] = [];
  /** Stream on which all origins held so far were sent. */
  private stream: ReportStream | undefined;
  private readonly changes = new ChangeSignal();
  private readonly stopped = new AbortController();

  constructor(
    private readonly sender: ReportSender,
    private readonly held: () => controlMessage.StreamOrigin[],
    private readonly clock: Clock,
  ) {}

  add(origin: controlMessage.StreamOrigin): void {
    // Without a stream, the next one gets everything that is held.
    if (this.stream === undefined) return;
    this.queued.push(origin);
    this.changes.raise();
  }

  async run(): Promise<void> {
    const { clock } = this;
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
    const origins = stream === this.stream ? this.queued : this.held();
    this.queued = [];
    this.stream = stream;
    if (origins.length === 0) return;
    stream.send({ case: 'origins', value: create(controlMessage.StreamOriginsSchema, { origins }) });
  }
}
