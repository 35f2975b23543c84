/** Receives the reports of processes: loads and caches of targets, work of entries, origins of streams, crashes. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { CachedParts, controlMessage } from '@jasmineroute/protocol';
import { match } from 'ts-pattern';
import { controlEvents } from '../events.js';
import type { OriginStore } from '../origins/index.js';
import type { EvidenceStore } from '../quarantine/index.js';
import type { RecentReports } from '../recent/index.js';

/** Time between two responses, milliseconds, by which a sender knows that the stream is alive. */
const HEARTBEAT_MS = 500;

/** Time after which a report on a cache expires unless renewed, milliseconds; senders renew it three times within it. */
const CACHE_REPORT_LIFETIME_MS = 5_000;

/** Where reports are stored. */
export interface ReportSinks {
  /** Loads of targets, by their ids. */
  readonly loads: RecentReports<controlMessage.TargetLoad>;
  /** Work of entries, by their names. */
  readonly work: RecentReports<controlMessage.EntryWork>;
  /** Origins of streams. */
  readonly origins: OriginStore;
  /** Evidence on requests that crash targets. */
  readonly evidence: EvidenceStore;
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted when this process stops: streams end, and senders switch to other instances. */
  readonly ended: AbortSignal;
}

/** Receives report streams. */
export class ReportReceiver {
  /** Cached blocks of targets, as the processes beside them report them here. */
  readonly cached = new CachedParts();
  private readonly cacheExpiries = new Map<string, () => void>();
  private readonly listeners = new Set<() => void>();

  /** @param allCached cached blocks reported to any instance; the reports received here are added to it. */
  constructor(
    private readonly sinks: ReportSinks,
    private readonly allCached: CachedParts,
  ) {}

  /** Calls back after changes of caches. @returns a function that unsubscribes. */
  onCached(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Receives the reports of one process, and responds regularly until it ends the stream. */
  async *receive(
    requests: AsyncIterable<controlMessage.ReportRequest>,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.ReportResponse> {
    const { clock, ended } = this.sinks;
    const readEnded = new AbortController();
    const signal = AbortSignal.any([ended, context.signal, readEnded.signal]);
    void this.readAll(requests).finally(() => {
      readEnded.abort();
    });
    while (!signal.aborted) {
      yield create(controlMessage.ReportResponseSchema, {});
      await clock.sleep(HEARTBEAT_MS, signal).catch(() => undefined);
    }
  }

  private async readAll(requests: AsyncIterable<controlMessage.ReportRequest>): Promise<void> {
    try {
      for await (const { report } of requests) this.apply(report);
    } catch (error) {
      // Nothing to clean up after a sender that ends or is cut off: its reports expire by themselves.
      this.sinks.log.event(controlEvents.reportStreamEnded, { problem: String(error) });
    }
  }

  private apply(report: controlMessage.ReportRequest['report']): void {
    const { loads, work, origins, evidence } = this.sinks;
    match(report)
      .with({ case: 'load' }, ({ value }) => {
        loads.take(value.targetId, value);
      })
      .with({ case: 'work' }, ({ value }) => {
        work.take(value.entry, value);
      })
      .with({ case: 'cache' }, ({ value }) => {
        this.applyCache(value);
      })
      .with({ case: 'origins' }, ({ value }) => {
        origins.record(value);
      })
      .with({ case: 'evidence' }, ({ value }) => {
        evidence.record(value.evidence);
      })
      // A kind of report that only newer releases know.
      .with({ case: undefined }, () => undefined)
      .exhaustive();
  }

  private applyCache({ address, changes }: controlMessage.TargetCache): void {
    this.cacheExpiries.get(address)?.();
    const cancel = this.sinks.clock.after(CACHE_REPORT_LIFETIME_MS, () => {
      this.cacheExpiries.delete(address);
      this.updateCached((cached) => {
        cached.removeAll(address);
      });
    });
    this.cacheExpiries.set(address, cancel);
    if (changes === undefined) return;
    this.updateCached((cached) => {
      cached.applyChanges(address, changes);
    });
  }

  private updateCached(change: (cached: CachedParts) => void): void {
    const place = this.cached.position();
    change(this.cached);
    change(this.allCached);
    if (this.cached.position() === place) return;
    for (const listener of this.listeners) listener();
  }
}
