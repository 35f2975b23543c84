/** Measures what the data folder holds, and warns before it is full. */
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { controlEvents } from '../events.js';
import { controlMetrics } from '../metrics.js';

/** Interval between two measurements, milliseconds. */
const MEASURE_MS = 5_000;

/** Share of what the folder may hold from which on a warning is logged. */
const WARNING_SHARE = 0.75;

/** Share below which the warning ends. Hysteresis keeps it from being logged on every snapshot. */
const RELIEF_SHARE = 0.6;

/** Growth of the largest size, as a share of what the folder may hold, after which it is logged again. */
const GROWTH_SHARE = 0.125;

/** Parts of the data folder. */
export type FolderPart = 'journal' | 'snapshots' | 'origins' | 'evidence' | 'departures';

/** Bytes that each part holds. */
export type PartBytes = Readonly<Record<FolderPart, number>>;

/** What is measured. */
export interface FolderSource {
  /** Bytes held now, and the most that the log has held. */
  held(): { readonly parts: PartBytes; readonly largestLog: number };
  /** Bytes that the file system has left. Rejects where it does not tell. */
  free(): Promise<number>;
  /** Bytes that the folder may hold; undefined: as many as are free. */
  readonly limitBytes?: number | undefined;
}

const totalOf = (parts: PartBytes): number => Object.values(parts).reduce((sum, bytes) => sum + bytes, 0);

/** Reports the size of one data folder as metrics, and its warnings as events. */
export class FolderMonitor {
  private readonly abort = new AbortController();
  private isFilling = false;
  private isFreeKnown = true;
  private largest = 0;
  private loggedShare = 0;

  constructor(
    private readonly source: FolderSource,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** Measures until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.abort;
    while (!signal.aborted) {
      await this.measure();
      await this.clock.sleep(MEASURE_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.abort.abort();
  }

  /** Measures once. */
  async measure(): Promise<void> {
    const { parts, largestLog } = this.source.held();
    const held = totalOf(parts);
    const records = held - parts.journal - parts.snapshots;
    this.largest = Math.max(this.largest, held, largestLog + records);
    for (const [part, bytes] of Object.entries(parts))
      this.metrics.gauge(controlMetrics.folderHeld, bytes, { part });
    this.metrics.gauge(controlMetrics.folderLargest, this.largest);
    const free = await this.freeBytes();
    if (free !== undefined) this.metrics.gauge(controlMetrics.folderFree, free);
    const limit = Math.min(this.source.limitBytes ?? Infinity, held + (free ?? Infinity));
    if (Number.isFinite(limit)) this.report({ ...parts, held, free, limit });
  }

  /** Bytes left on the file system; undefined where it does not tell, which is logged once. */
  private async freeBytes(): Promise<number | undefined> {
    try {
      const free = await this.source.free();
      this.isFreeKnown = true;
      return free;
    } catch (error) {
      if (this.isFreeKnown) this.log.event(controlEvents.folderFreeUnknown, { problem: String(error) });
      this.isFreeKnown = false;
      return undefined;
    }
  }

  private report(fields: { held: number; limit: number } & Record<string, unknown>): void {
    const { held, limit } = fields;
    const { largest } = this;
    const bound = this.isFilling ? RELIEF_SHARE : WARNING_SHARE;
    const isFilling = held >= limit * bound;
    if (isFilling !== this.isFilling) {
      this.isFilling = isFilling;
      const event = isFilling ? controlEvents.folderFilling : controlEvents.folderRelieved;
      this.log.event(event, { ...fields, largest });
    }
    const largestShare = largest / limit;
    if (largestShare < this.loggedShare + GROWTH_SHARE) return;
    this.loggedShare = largestShare;
    this.log.event(controlEvents.folderGrown, { ...fields, largest });
  }
}
