/** Origins of the streams of this entry, and of those that callers resume here. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log } from '@jasmineroute/core';
import { ReportSender } from '@jasmineroute/knowledge';
import { OriginTable, controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { OriginLookup } from './originLookup.js';
import { OriginReporter } from './originReporter.js';
import { VersionLookup } from './versionLookup.js';
import type { VersionResult } from './versionLookup.js';

/** Maximum number of origins held by an entry. */
const MAX_ORIGINS = 4_000;

/** Time for which an unknown origin is looked up again while some control instance does not answer, milliseconds. */
const LOOKUP_MS = 500;

/** Pause between two lookups, milliseconds. */
const RETRY_MS = 50;

/** Dependencies of the origins. */
export interface StreamOriginsParts {
  /** Sends reports to the preferred control instance; shared with other reports. */
  readonly sender: ReportSender;
  /** Control instances that accept reports, host:port, in order of preference. */
  readonly controls: () => readonly string[];
  /** All known control instances. */
  readonly allControls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** Records origins at two control instances, and finds them again. */
export class StreamOrigins {
  private readonly table: OriginTable;
  private readonly secondSender: ReportSender;
  private readonly reporter: OriginReporter;
  private readonly lookup: OriginLookup;
  private readonly versions: VersionLookup;

  constructor(private readonly parts: StreamOriginsParts) {
    const { sender, controls, allControls, peers, clock, log } = parts;
    this.table = new OriginTable(clock, MAX_ORIGINS);
    const others = (): string[] => controls().filter((address) => address !== sender.address);
    this.secondSender = new ReportSender({ controls: others, peers, clock, log });
    const held = (): controlMessage.StreamOrigin[] => this.table.all();
    this.reporter = new OriginReporter({ senders: [sender, this.secondSender], held, clock });
    const asked = { controls: allControls, peers, clock, log };
    this.lookup = new OriginLookup(asked);
    this.versions = new VersionLookup(asked);
  }

  /** Runs until `stop`. */
  run(): Promise<void> {
    return this.reporter.run();
  }

  stop(): void {
    this.reporter.stop();
    this.secondSender.close();
  }

  /** Records the origin of a stream whose first event goes to its caller. */
  record(fields: Omit<controlMessage.StreamOrigin, '$typeName'>): void {
    const stored = this.table.record(create(controlMessage.StreamOriginSchema, fields));
    if (stored !== undefined && stored.softwareVersion !== '') this.reporter.report(stored);
  }

  /**
   * The origin of a stream. Without one, the stream may have begun at any version, also at one that this entry has never
   * heard of, however few it knows.
   * @param waitUntil monotonic time until which an incomplete answer is not taken as final.
   */
  async find(
    stream: Uint8Array,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<controlMessage.StreamOrigin | undefined> {
    const held = this.table.find(stream);
    if (held !== undefined) return held;
    const { origin } = await this.untilComplete(() => this.lookup.find(stream), waitUntil, signal);
    return origin;
  }

  /** The only software version of a service's targets within the last `withinMs` milliseconds; undefined if not certain. */
  async soleVersion(
    service: string,
    withinMs: number,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const ask = (): Promise<VersionResult> => this.versions.soleVersion(service, withinMs);
    const { version } = await this.untilComplete(ask, waitUntil, signal);
    return version;
  }

  /** Asks again while some control instance does not answer, as it may have just started. */
  private async untilComplete<R extends { readonly isComplete: boolean }>(
    ask: () => Promise<R>,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<R> {
    const { clock } = this.parts;
    const endsAt = Math.max(waitUntil, clock.monotonic() + LOOKUP_MS);
    for (;;) {
      const result = await ask();
      if (result.isComplete || signal.aborted || clock.monotonic() >= endsAt) return result;
      await clock.sleep(RETRY_MS, signal).catch(() => undefined);
    }
  }
}
