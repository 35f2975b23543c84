/** Origins of streams: which service and software version began each. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { StreamOriginSchema } from '../gen/jasmineroute/control_pb.js';
import type { StreamOrigin } from '../gen/jasmineroute/control_pb.js';

/** Bounds for how long an origin is kept, milliseconds: its own lifetime lies between them. */
const MIN_RETENTION_MS = 30_000;
const MAX_RETENTION_MS = 600_000;

/** What is held of an origin, shared by all streams of a software version. */
interface Version {
  readonly service: string;
  /** Empty: reports contradict each other. */
  readonly softwareVersion: string;
}

/** Held for a stream of which reports contradict each other. */
const CONTRADICTED: Version = { service: '', softwareVersion: '' };

/** Keys are held as text of one byte a character, which takes less memory than a buffer. */
const KEY_ENCODING = 'latin1';

const keyOf = (stream: Uint8Array): string => Buffer.from(stream).toString(KEY_ENCODING);

/**
 * A bounded table of origins. An origin never changes: a second one that differs for the same stream makes it unusable
 * instead of replacing it, so that no order of reports, restarts and evictions can yield another version than the one
 * that began the stream. Origins are held in two generations; the older one is dropped as a whole.
 */
export class OriginTable {
  private current = new Map<string, Version>();
  private previous = new Map<string, Version>();
  private readonly versions = new Map<string, Version>();
  private currentSince: number;
  private retentionMs = MIN_RETENTION_MS;

  /**
   * @param capacity maximum number of origins; the oldest are evicted.
   * @param onRotate called when a new generation begins.
   */
  constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
    private readonly onRotate: () => void = () => undefined,
  ) {
    this.currentSince = clock.monotonic();
  }

  /** Number of origins held. */
  get size(): number {
    return this.current.size + this.previous.size;
  }

  /** Records an origin. @returns what has to be stored for it; undefined if the newer generation held the same before. */
  record(origin: StreamOrigin): StreamOrigin | undefined {
    this.rotateIfDue();
    const key = keyOf(origin.stream);
    const held = this.held(key);
    const reported = this.versionOf(origin);
    const version = held === undefined || held === reported ? reported : CONTRADICTED;
    if (this.current.get(key) === version) return undefined;
    this.retentionMs = Math.max(this.retentionMs, Math.min(MAX_RETENTION_MS, origin.lifetimeMs));
    this.current.set(key, version);
    return this.messageOf(key, version);
  }

  /** The origin of a stream; undefined if it is not known. */
  find(stream: Uint8Array): StreamOrigin | undefined {
    const key = keyOf(stream);
    const version = this.held(key);
    return version === undefined || version === CONTRADICTED ? undefined : this.messageOf(key, version);
  }

  /** All known origins, the oldest first. */
  all(): StreamOrigin[] {
    const known = [...this.previous, ...this.current].filter(([, version]) => version !== CONTRADICTED);
    return known.map(([key, version]) => this.messageOf(key, version));
  }

  /** Software versions of a service that began streams. */
  versionsOf(service: string): string[] {
    return [...this.versions.values()]
      .filter((version) => version.service === service)
      .map(({ softwareVersion }) => softwareVersion);
  }

  private held(key: string): Version | undefined {
    return this.current.get(key) ?? this.previous.get(key);
  }

  /** The same object for the same version. An origin without a version is stored for a contradiction. */
  private versionOf({ service, softwareVersion }: StreamOrigin): Version {
    if (softwareVersion === '') return CONTRADICTED;
    const text = JSON.stringify([service, softwareVersion]);
    const version = this.versions.get(text) ?? { service, softwareVersion };
    this.versions.set(text, version);
    return version;
  }

  private messageOf(key: string, version: Version): StreamOrigin {
    const stream = Buffer.from(key, KEY_ENCODING);
    return create(StreamOriginSchema, { stream, ...version, lifetimeMs: this.retentionMs });
  }

  private dropUnusedVersions(): void {
    const used = new Set(this.previous.values());
    for (const [text, version] of this.versions) if (!used.has(version)) this.versions.delete(text);
  }

  private rotateIfDue(): void {
    const now = this.clock.monotonic();
    const isOld = now - this.currentSince >= this.retentionMs;
    if (!isOld && this.current.size < this.capacity / 2) return;
    this.previous = this.current;
    this.current = new Map();
    this.dropUnusedVersions();
    this.currentSince = now;
    this.onRotate();
  }
}
