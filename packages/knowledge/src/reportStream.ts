/** A stream of reports to a control instance. */
import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/**
 * Silence after which a stream is aborted, milliseconds: two heartbeats of the control instance and a margin. A connection
 * can go silent for good, and a frozen instance keeps it open, so only the missing heartbeats show it.
 */
const SILENCE_TIMEOUT_MS = 1_200;

/** Timeout for the first heartbeat, milliseconds: about ten round trips. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 400;

/** A target's load, an entry's work, or a target's cache. */
export type Report = controlMessage.ReportRequest['report'];

type Heartbeats = AsyncIterator<controlMessage.ReportResponse>;

/** Dependencies of a report stream. */
export interface ReportStreamParts {
  /** Of the control instance, host:port. */
  readonly address: string;
  readonly clock: Clock;
  readonly log: Log;
}

/** Delivers reports in order unless the stream breaks. They are not acknowledged one by one, as each is soon outdated. */
export class ReportStream {
  private readonly queue: Report[] = [];
  private readonly ended = new AbortController();
  private isDraining = false;
  private wakeSender: () => void = () => undefined;

  constructor(private readonly parts: ReportStreamParts) {}

  get address(): string {
    return this.parts.address;
  }

  get isOpen(): boolean {
    return !this.isDraining && !this.ended.signal.aborted;
  }

  /** Resolves at the first heartbeat. @throws Error without one in time. */
  async open(client: Client<typeof controlMessage.Configurations>): Promise<void> {
    const beats = client.report(this.requests(), { signal: this.ended.signal })[Symbol.asyncIterator]();
    const cancelTimer = this.abortAfter(FIRST_HEARTBEAT_TIMEOUT_MS);
    try {
      const first = await beats.next();
      if (first.done === true)
        throw new Error('the control instance closed the report stream before its first heartbeat');
    } catch (error) {
      this.end();
      throw error;
    } finally {
      cancelTimer();
    }
    void this.readHeartbeats(beats);
  }

  send(report: Report): void {
    this.queue.push(report);
    this.wakeSender();
  }

  /** Closes the stream once the queued reports are sent. */
  drain(): void {
    this.isDraining = true;
    this.wakeSender();
  }

  /** Aborts the stream. */
  end(): void {
    this.ended.abort();
    this.wakeSender();
  }

  /** Reads heartbeats until the stream ends. */
  private async readHeartbeats(heartbeats: Heartbeats): Promise<void> {
    const { address, log } = this.parts;
    let problem = 'the control instance closed the stream';
    let cancelTimer = this.abortAfter(SILENCE_TIMEOUT_MS);
    try {
      while ((await heartbeats.next()).done !== true) {
        cancelTimer();
        cancelTimer = this.abortAfter(SILENCE_TIMEOUT_MS);
      }
    } catch (error) {
      problem = String(error);
    }
    cancelTimer();
    this.end();
    log.event(knowledgeEvents.reportsEnded, { control: address, problem });
  }

  /**
   * Aborts the stream after a silence, but leaves the connection open for the subscriptions on it: these would request the
   * whole state again from an instance that is late already. They drop a connection that is silent themselves.
   */
  private abortAfter(ms: number): () => void {
    return this.parts.clock.after(ms, () => {
      this.end();
    });
  }

  private async *requests(): AsyncGenerator<controlMessage.ReportRequest> {
    while (!this.ended.signal.aborted) {
      const report = this.queue.shift();
      if (report !== undefined) yield create(controlMessage.ReportRequestSchema, { report });
      else if (this.isDraining) return;
      else await new Promise<void>((resolve) => (this.wakeSender = resolve));
    }
  }
}
