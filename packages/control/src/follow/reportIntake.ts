/** Takes what processes report for others: loads and caches of targets, work of entries. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { KeptParts, controlMessage } from '@jasmineroute/protocol';
import { match } from 'ts-pattern';
import { controlEvents } from '../events.js';
import type { RecentReports } from '../recent/index.js';

/** Time between two beats, milliseconds: how a sender knows that it is still heard. */
const BEAT_MS = 500;

/** What a target has in its cache is believed for so long, milliseconds: it is told again three times as often. */
const CACHE_LASTS_MS = 5_000;

/** Where reports go. */
export interface ReportBoards {
  /** Loads of targets, by their ids. */
  readonly loads: RecentReports<controlMessage.TargetLoad>;
  /** Work of entries, by their names. */
  readonly work: RecentReports<controlMessage.EntryWork>;
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted when this process stops: streams end, and senders go on with the other instances. */
  readonly ended: AbortSignal;
}

/** The receiving side of reports. */
export class ReportIntake {
  /** What targets have in their caches, as the processes beside them tell it. */
  readonly cached = new KeptParts();
  private readonly cacheEnds = new Map<string, () => void>();
  private readonly listeners = new Set<() => void>();

  /** @param allCached what all instances were told of caches, to which it adds what is told here. */
  constructor(
    private readonly boards: ReportBoards,
    private readonly allCached: KeptParts,
  ) {}

  /** Calls back after news of caches. Returns the way to stop. */
  onCached(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Takes one process's reports, and beats until it ends them. */
  async *take(
    requests: AsyncIterable<controlMessage.ReportRequest>,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.ReportResponse> {
    const { clock, ended } = this.boards;
    const read = new AbortController();
    const signal = AbortSignal.any([ended, context.signal, read.signal]);
    void this.readAll(requests).finally(() => {
      read.abort();
    });
    while (!signal.aborted) {
      yield create(controlMessage.ReportResponseSchema, {});
      await clock.sleep(BEAT_MS, signal).catch(() => undefined);
    }
  }

  private async readAll(requests: AsyncIterable<controlMessage.ReportRequest>): Promise<void> {
    try {
      for await (const { report } of requests) this.apply(report);
    } catch (error) {
      // A sender that ends or is cut off needs nothing from here: its reports grow old by themselves.
      this.boards.log.event(controlEvents.reportStreamEnded, { problem: String(error) });
    }
  }

  private apply(report: controlMessage.ReportRequest['report']): void {
    const { loads, work } = this.boards;
    match(report)
      .with({ case: 'load' }, ({ value }) => {
        loads.take(value.targetId, value);
      })
      .with({ case: 'work' }, ({ value }) => {
        work.take(value.entry, value);
      })
      .with({ case: 'cache' }, ({ value }) => {
        this.keep(value);
      })
      // Of a newer release: what it tells is not known here.
      .with({ case: undefined }, () => undefined)
      .exhaustive();
  }

  private keep({ address, changes }: controlMessage.TargetCache): void {
    this.cacheEnds.get(address)?.();
    const end = this.boards.clock.after(CACHE_LASTS_MS, () => {
      this.cacheEnds.delete(address);
      this.changeCached((cached) => {
        cached.forget(address);
      });
    });
    this.cacheEnds.set(address, end);
    if (changes === undefined) return;
    this.changeCached((cached) => {
      cached.apply(address, changes);
    });
  }

  private changeCached(change: (cached: KeptParts) => void): void {
    const place = this.cached.place();
    change(this.cached);
    change(this.allCached);
    if (this.cached.place() === place) return;
    for (const listener of this.listeners) listener();
  }
}
