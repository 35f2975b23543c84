/** Origins of the streams of this entry, and of those that callers resume here. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log } from '@jasmineroute/core';
import type { Report, ReportSender } from '@jasmineroute/knowledge';
import { OriginTable, controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { CopiedReporter } from '../report/index.js';
import { OriginLookup } from './originLookup.js';
import type { LookupResult } from './originLookup.js';
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
  /** One for each copy, each to another control instance; shared with other reports. */
  readonly senders: readonly ReportSender[];
  /** All known control instances. */
  readonly allControls: () => readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** How the origin of a stream was decided, or why it was not. */
export type OriginDecision =
  | { readonly by: 'own' | 'lookup'; readonly origin: controlMessage.StreamOrigin }
  | { readonly by: 'unknown' | 'unanswered' };

/** How the only software version of a service was decided, or why it was not. */
export type VersionDecision =
  { readonly by: 'sole'; readonly version: string } | { readonly by: 'several' | 'unanswered' | 'outdated' };

const reportOf = (origins: controlMessage.StreamOrigin[]): Report => ({
  case: 'origins',
  value: create(controlMessage.StreamOriginsSchema, { origins }),
});

/** Records origins at two control instances, and finds them again. */
export class StreamOrigins {
  private readonly table: OriginTable;
  private readonly reporter: CopiedReporter<controlMessage.StreamOrigin>;
  private readonly lookup: OriginLookup;
  private readonly versions: VersionLookup;

  constructor(private readonly parts: StreamOriginsParts) {
    const { senders, allControls, peers, clock, log } = parts;
    this.table = new OriginTable(clock, MAX_ORIGINS);
    const held = (): controlMessage.StreamOrigin[] => this.table.all();
    this.reporter = new CopiedReporter({ senders, held, reportOf, clock });
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
  async find(stream: Uint8Array, waitUntil: number, signal: AbortSignal): Promise<OriginDecision> {
    const held = this.table.find(stream);
    if (held !== undefined) return { by: 'own', origin: held };
    const ask = (): Promise<LookupResult> => this.lookup.find(stream);
    const { origin, isComplete } = await this.untilComplete(ask, waitUntil, signal);
    if (origin !== undefined) return { by: 'lookup', origin };
    return { by: isComplete ? 'unknown' : 'unanswered' };
  }

  /**
   * The only software version of a service's targets within the last `withinMs` milliseconds, if that is certain.
   * @param configuration number of the configuration by which the service was chosen: a newer one may lead to another.
   */
  async soleVersion(
    service: string,
    withinMs: number,
    configuration: number,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<VersionDecision> {
    const ask = (): Promise<VersionResult> => this.versions.soleVersion(service, withinMs);
    const result = await this.untilComplete(ask, waitUntil, signal);
    const { version, isComplete } = result;
    if (result.configuration > configuration) return { by: 'outdated' };
    if (version !== undefined) return { by: 'sole', version };
    return { by: isComplete ? 'several' : 'unanswered' };
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
