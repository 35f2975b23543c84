/** What followers of a kind are told alike, from where it is held. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { KeptParts } from '@jasmineroute/protocol';
import type { BulletinSource, SharedFields } from './bulletins.js';
import type { FollowSources } from './followSources.js';

/** Work that was told is believed for so long, milliseconds: it is told again twice as often. */
const WORK_LASTS_MS = 1_000;

/** Under this name an entry hears the work of all. */
const ALL = 'all';

/** Targets, for all followers; loads, work and caches too, for entries that ask for them. */
export class SharedFieldsSource implements BulletinSource {
  private targetPlace = 0;
  private relayedPlace = 0;
  private loadPlace = 0;
  private keptPlace = 0;
  private workPlace = 0;
  private cachedPlace = 0;
  /** Joined addresses that were told last; undefined: none were. */
  private toldHeard: string | undefined;
  /** Work of single entries in the last sum. */
  private summed: ReadonlyMap<string, controlMessage.EntryWork> = new Map();

  constructor(
    private readonly sources: FollowSources,
    private readonly isBulk: boolean,
  ) {}

  fields(whole: boolean): Partial<SharedFields> {
    if (whole) this.begin();
    return { ...this.targets(), ...(this.isBulk && this.bulk()) };
  }

  /** What an entry told itself of the work that was told last. */
  workOf(entry: string): controlMessage.EntryWork | undefined {
    return this.summed.get(entry);
  }

  private begin(): void {
    this.targetPlace = 0;
    this.relayedPlace = 0;
    this.loadPlace = 0;
    this.keptPlace = 0;
    this.workPlace = 0;
    this.cachedPlace = 0;
    this.toldHeard = undefined;
  }

  private targets(): Partial<SharedFields> {
    const { targets, relayed } = this.sources;
    const fields = {
      targets: targets.since(this.targetPlace),
      relayed: relayed.since(this.relayedPlace),
      heard: this.heard(),
    };
    this.targetPlace = targets.place();
    this.relayedPlace = relayed.place();
    return fields;
  }

  private heard(): controlMessage.HeardControls | undefined {
    const controls = this.sources.relayed.heard();
    const told = controls.join();
    if (told === this.toldHeard) return undefined;
    this.toldHeard = told;
    return create(controlMessage.HeardControlsSchema, { controls });
  }

  private bulk(): Partial<SharedFields> {
    const { loads, others, kept } = this.sources;
    const fields = {
      loads: loads.since(this.loadPlace),
      work: this.work(),
      cached: changesOf(others.cached, this.cachedPlace),
      kept: kept === undefined ? undefined : changesOf(kept, this.keptPlace),
    };
    this.loadPlace = loads.lastSequenceNumber();
    this.cachedPlace = others.cached.place();
    this.keptPlace = kept?.place() ?? 0;
    return fields;
  }

  /** One sum for each target: what single entries have there would be as many times as much. */
  private work(): controlMessage.EntryWork[] {
    const { work } = this.sources;
    if (work.lastSequenceNumber() === this.workPlace) return [];
    this.workPlace = work.lastSequenceNumber();
    const recent = work.within(WORK_LASTS_MS);
    this.summed = new Map(recent.map((told) => [told.entry, told]));
    const sums = new Map<string, number>();
    for (const { targetId, tokens } of recent.flatMap(({ targets }) => targets))
      sums.set(targetId, (sums.get(targetId) ?? 0) + tokens);
    const targets = [...sums].map(([targetId, tokens]) =>
      create(controlMessage.TargetTokensSchema, { targetId, tokens }),
    );
    return [create(controlMessage.EntryWorkSchema, { entry: ALL, targets })];
  }
}

/** What changed of caches after a place. */
export function changesOf(parts: KeptParts, place: number): controlMessage.KeptChanges | undefined {
  return parts.place() === place ? undefined : parts.since(place);
}
