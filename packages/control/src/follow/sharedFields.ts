/** Collects the event fields that are the same for all followers of a kind. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { CachedParts } from '@jasmineroute/protocol';
import type { UpdateSource, SharedFields } from './sharedUpdates.js';
import type { FollowSources } from './followSources.js';

/** Age up to which a report on work counts, milliseconds; entries renew it twice within this time. */
const WORK_MAX_AGE_MS = 1_000;

/** Entry name of the summed work. */
const ALL_ENTRIES = 'all';

/** Supplies targets to all followers, and loads, work and caches to entries that request them. */
export class SharedFieldsSource implements UpdateSource {
  private targetPosition = 0;
  private relayedPosition = 0;
  private loadPosition = 0;
  private keptPosition = 0;
  private workPosition = 0;
  private cachedPosition = 0;
  /** Joined addresses that were returned last; undefined: none. */
  private sentControls: string | undefined;
  /** Reports of single entries in the last sum. */
  private summedReports: ReadonlyMap<string, controlMessage.EntryWork> = new Map();

  constructor(
    private readonly sources: FollowSources,
    private readonly isBulk: boolean,
  ) {}

  fields(whole: boolean): Partial<SharedFields> {
    if (whole) this.resetPositions();
    return { ...this.targets(), ...(this.isBulk && this.bulk()) };
  }

  /** The report of one entry that is part of the last sum. */
  workOf(entry: string): controlMessage.EntryWork | undefined {
    return this.summedReports.get(entry);
  }

  private resetPositions(): void {
    this.targetPosition = 0;
    this.relayedPosition = 0;
    this.loadPosition = 0;
    this.keptPosition = 0;
    this.workPosition = 0;
    this.cachedPosition = 0;
    this.sentControls = undefined;
  }

  private targets(): Partial<SharedFields> {
    const { targets, relayed } = this.sources;
    const fields = {
      targets: targets.since(this.targetPosition),
      relayed: relayed.since(this.relayedPosition),
      heard: this.heardControls(),
    };
    this.targetPosition = targets.lastChangeNumber();
    this.relayedPosition = relayed.lastChangeNumber();
    return fields;
  }

  private heardControls(): controlMessage.HeardControls | undefined {
    const controls = this.sources.relayed.connectedControls();
    const joined = controls.join();
    if (joined === this.sentControls) return undefined;
    this.sentControls = joined;
    return create(controlMessage.HeardControlsSchema, { controls });
  }

  private bulk(): Partial<SharedFields> {
    const { loads, others, kept } = this.sources;
    const fields = {
      loads: loads.since(this.loadPosition),
      work: this.work(),
      cached: changesSince(others.cached, this.cachedPosition),
      kept: kept === undefined ? undefined : changesSince(kept, this.keptPosition),
    };
    this.loadPosition = loads.lastSequenceNumber();
    this.cachedPosition = others.cached.position();
    this.keptPosition = kept?.position() ?? 0;
    return fields;
  }

  /** One sum for each target: the reports of single entries would multiply the size by the number of entries. */
  private work(): controlMessage.EntryWork[] {
    const { work } = this.sources;
    if (work.lastSequenceNumber() === this.workPosition) return [];
    this.workPosition = work.lastSequenceNumber();
    const recent = work.within(WORK_MAX_AGE_MS);
    this.summedReports = new Map(recent.map((report) => [report.entry, report]));
    const sums = new Map<string, number>();
    for (const { targetId, tokens } of recent.flatMap(({ targets }) => targets))
      sums.set(targetId, (sums.get(targetId) ?? 0) + tokens);
    const targets = [...sums].map(([targetId, tokens]) =>
      create(controlMessage.TargetTokensSchema, { targetId, tokens }),
    );
    return [create(controlMessage.EntryWorkSchema, { entry: ALL_ENTRIES, targets })];
  }
}

/** Changes of cached blocks after a position. */
export function changesSince(parts: CachedParts, position: number): controlMessage.KeptChanges | undefined {
  return parts.position() === position ? undefined : parts.changesSince(position);
}
