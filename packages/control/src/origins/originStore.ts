/** Origins of streams that entries reported to this instance. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Metrics } from '@jasmineroute/core';
import { OriginTable, controlMessage, streamKey } from '@jasmineroute/protocol';
import type { RecordFiles } from '../files/index.js';
import { controlMetrics } from '../metrics.js';

/** Maximum number of origins: about 10 MB. */
const MAX_ORIGINS = 100_000;

/** A software version of a service's targets. */
export type ServiceVersion = Pick<controlMessage.StreamOrigin, 'service' | 'softwareVersion'>;

/** Stands for a customer in the keys of versions; no customer's name holds the character. */
const VERSION_KEY = '\0version';

/** The record of a version, which is stored as the origin of a stream of its own. */
function recordOf({ service, softwareVersion }: ServiceVersion): controlMessage.StreamOrigin {
  const stream = streamKey(VERSION_KEY, JSON.stringify([service, softwareVersion]));
  return create(controlMessage.StreamOriginSchema, { stream, service, softwareVersion });
}

/**
 * Holds origins in memory, and on the disk where there is one. It needs no agreement with other instances: an origin never
 * changes, so each copy is valid by itself, and a missing one only means that the stream is unknown here.
 */
export class OriginStore {
  /** Whether origins of an earlier start were found on the disk. */
  isRestored = false;
  private readonly table: OriginTable;
  /** The versions that each new generation of origins holds from its beginning. */
  private versionsInUse: () => readonly ServiceVersion[] = () => [];

  /** @param files where origins are stored; undefined without a disk. */
  constructor(
    clock: Clock,
    private readonly metrics: Metrics,
    private readonly files?: RecordFiles<controlMessage.StreamOrigin>,
  ) {
    files?.beginWith(() => this.versionsInUse().map(recordOf));
    this.table = new OriginTable(clock, MAX_ORIGINS, () => {
      files?.roll();
      // Deferred, as the generation begins while an origin is being recorded.
      queueMicrotask(() => {
        this.storeVersions(this.versionsInUse());
      });
    });
  }

  /** Sets the versions that are stored for as long as they are in use. */
  keepVersions(inUse: () => readonly ServiceVersion[]): void {
    this.versionsInUse = inUse;
  }

  /**
   * Stores versions before they begin streams: after a loss of power of all, a version is known although no origin of its
   * streams was reported and synced, and although its targets have not called yet.
   */
  storeVersions(versions: readonly ServiceVersion[]): void {
    const stored = versions.flatMap((version) => this.table.record(recordOf(version)) ?? []);
    if (stored.length > 0) void this.files?.store(stored);
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
