/** One open stream of reports to a control instance. */
import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/**
 * Silence after which a stream is given up, milliseconds: two beats of the control instance and a pause. A connection can
 * go silent for good, and a frozen instance keeps it open, so only the missing beats show it.
 */
const SILENCE_MS = 1_200;

/** Longest wait for the first beat, milliseconds: some ten times the way there and back. */
const FIRST_BEAT_MS = 400;

/** What is reported: a target's load, an entry's work, or a target's cache. */
export type Report = controlMessage.ReportRequest['report'];

type Beats = AsyncIterator<controlMessage.ReportResponse>;

/** What a stream works with. */
export interface ReportStreamParts {
  /** Of the control instance, host:port. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** What was sent has arrived, in order, unless the stream broke. Reports grow old, so nobody waits for each to arrive. */
export class ReportStream {
  private readonly queue: Report[] = [];
  private readonly ended = new AbortController();
  private isFinished = false;
  private wake: () => void = () => undefined;

  constructor(private readonly parts: ReportStreamParts) {}

  get address(): string {
    return this.parts.address;
  }

  get isOpen(): boolean {
    return !this.isFinished && !this.ended.signal.aborted;
  }

  /** Resolves at the first beat. @throws Error without one in time. */
  async open(client: Client<typeof controlMessage.Configurations>): Promise<void> {
    const beats = client.report(this.requests(), { signal: this.ended.signal })[Symbol.asyncIterator]();
    const calledOff = this.endAfter(FIRST_BEAT_MS);
    try {
      const first = await beats.next();
      if (first.done === true) throw new Error('it takes no reports');
    } catch (error) {
      this.end();
      throw error;
    } finally {
      calledOff();
    }
    void this.listen(beats);
  }

  send(report: Report): void {
    this.queue.push(report);
    this.wake();
  }

  /** Ends the stream after what was sent already has gone out. */
  finish(): void {
    this.isFinished = true;
    this.wake();
  }

  /** Cuts the stream. */
  end(): void {
    this.ended.abort();
    this.wake();
  }

  /** Reads beats until the stream ends. */
  private async listen(beats: Beats): Promise<void> {
    const { address, log } = this.parts;
    let problem = 'the control instance ended it';
    let calledOff = this.endAfter(SILENCE_MS);
    try {
      while ((await beats.next()).done !== true) {
        calledOff();
        calledOff = this.endAfter(SILENCE_MS);
      }
    } catch (error) {
      problem = String(error);
    }
    calledOff();
    this.end();
    log.event(knowledgeEvents.reportsEnded, { control: address, problem });
  }

  /**
   * Gives the stream up after a silence, and leaves the connection to those that follow on it: cut with it, they would be
   * told all again by an instance that is late already. When the connection is silent itself they drop it.
   */
  private endAfter(ms: number): () => void {
    return this.parts.clock.after(ms, () => {
      this.end();
    });
  }

  private async *requests(): AsyncGenerator<controlMessage.ReportRequest> {
    while (!this.ended.signal.aborted) {
      const report = this.queue.shift();
      if (report !== undefined) yield create(controlMessage.ReportRequestSchema, { report });
      else if (this.isFinished) return;
      else await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }
}
