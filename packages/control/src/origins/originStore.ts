/** Origins of streams that entries reported to this instance. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Metrics } from '@jasmineroute/core';
import { OriginTable, controlMessage } from '@jasmineroute/protocol';
import type { RecordFiles } from '../files/index.js';
import { controlMetrics } from '../metrics.js';

/** Maximum number of origins: about 10 MB. */
const MAX_ORIGINS = 100_000;

/**
 * Holds origins in memory, and on the disk where there is one. It needs no agreement with other instances: an origin never
 * changes, so each copy is valid by itself, and a missing one only means that the stream is unknown here.
 */
export class OriginStore {
  /** Whether origins of an earlier start were found on the disk. */
  isRestored = false;
  private readonly table: OriginTable;

  /** @param files where origins are stored; undefined without a disk. */
  constructor(
    clock: Clock,
    private readonly metrics: Metrics,
    private readonly files?: RecordFiles<controlMessage.StreamOrigin>,
  ) {
    this.table = new OriginTable(clock, MAX_ORIGINS, () => files?.roll());
  }

  /** Reads what the disk holds. */
  async open(): Promise<void> {
    const origins = (await this.files?.load()) ?? [];
    for (const origin of origins) this.table.record(origin);
    this.isRestored = origins.length > 0;
  }

  /** Records reported origins. */
  record({ origins }: controlMessage.StreamOrigins): void {
    const stored = origins.flatMap((origin) => this.table.record(origin) ?? []);
    if (stored.length > 0) this.files?.append(stored);
    this.metrics.gauge(controlMetrics.originsHeld, this.table.size);
  }

  /** The known ones of some streams. */
  find({ streams }: controlMessage.FindOriginsRequest): controlMessage.FindOriginsResponse {
    const origins = streams.flatMap((stream) => this.table.find(stream) ?? []);
    const unknown = streams.length - origins.length;
    this.metrics.count(controlMetrics.originLookups, origins.length, { outcome: 'known' });
    this.metrics.count(controlMetrics.originLookups, unknown, { outcome: 'unknown' });
    return create(controlMessage.FindOriginsResponseSchema, { origins });
  }

  /** Software versions of a service that began streams. */
  versionsOf(service: string): string[] {
    return this.table.versionsOf(service);
  }

  /** Writes what is pending. */
  async close(): Promise<void> {
    await this.files?.close();
  }
}
