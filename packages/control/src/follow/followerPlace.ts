/** What one follower has been told, and what it lacks. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { KeptParts } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import type { CommandLog } from '../log/index.js';
import type { RelayedTargets, TargetBook } from '../targets/index.js';
import type { OtherControls } from './otherControls.js';
import type { ReportBoards } from './reportIntake.js';

/** Work that was told is believed for so long, milliseconds: it is told again twice as often. */
const WORK_LASTS_MS = 1_000;

/** Under this name an entry hears the work of all others. */
const OTHERS = 'others';

/** What the streams tell of. */
export interface FollowSources extends ReportBoards {
  readonly configuration: ConfigurationState;
  readonly targets: TargetBook;
  /** What other control instances tell of targets. */
  readonly relayed: RelayedTargets;
  readonly others: OtherControls;
  /** Addresses of stores that do not answer. */
  readonly lostStores: () => readonly string[];
  /** What stores keep; undefined where no store is watched. */
  readonly kept: KeptParts | undefined;
  readonly commandLog: CommandLog;
}

/**
 * What a follower is told:
 * - loads: a control instance, the targets and loads that this one was told itself;
 * - own: one that passes it on to entries, the work and caches too;
 * - bulk: an entry, all that it needs for its decisions;
 * - spare: the configuration, weights and targets.
 */
export type Share = 'loads' | 'own' | 'bulk' | 'spare';

type EventFields = Partial<Omit<controlMessage.FollowEvent, '$typeName' | '$unknown'>>;

/** The share that a follower asks for. */
export function shareOf({ role, bulk }: Pick<controlMessage.FollowRequest, 'role' | 'bulk'>): Share {
  if (role === 'control') return bulk ? 'own' : 'loads';
  return bulk ? 'bulk' : 'spare';
}

/** How far one follower has been told. */
export class FollowerPlace {
  private place = 0;
  private relayedPlace = 0;
  private loadPlace = 0;
  private keptPlace = 0;
  private workPlace = 0;
  private cachedPlace = 0;
  private weightsVersion = -1;
  /** Joined addresses that were told last; undefined: none were. */
  private toldControls: string | undefined;
  private toldHeard: string | undefined;
  private number: bigint;

  private readonly fields: Record<Share, () => EventFields> = {
    loads: () => this.ownLoads(),
    own: () => ({ ...this.ownLoads(), ...this.ownWork() }),
    bulk: () => ({ ...this.news(), ...this.bulk() }),
    spare: () => this.news(),
  };

  /** @param ownCached what this instance was told of caches itself. */
  constructor(
    private readonly sources: FollowSources,
    private readonly ownCached: KeptParts,
    private readonly request: controlMessage.FollowRequest,
  ) {
    this.number = request.number;
  }

  /** What it lacks, which counts as told from then on; `entries`: how many it is to know of. */
  event(entries: number): controlMessage.FollowEvent {
    const { targets, commandLog, configuration } = this.sources;
    const fields = {
      ...this.fields[shareOf(this.request)](),
      vouched: commandLog.status().vouched,
      number: configuration.held().number,
      targets: targets.since(this.place),
      controls: this.controls(),
      entries,
    };
    this.place = targets.place();
    return create(controlMessage.FollowEventSchema, fields);
  }

  private controls(): string[] {
    const controls = this.sources.commandLog.members().map(({ address }) => address);
    const told = controls.join();
    if (told === this.toldControls) return [];
    this.toldControls = told;
    return controls;
  }

  private heard(): controlMessage.HeardControls | undefined {
    const controls = this.sources.relayed.heard();
    const told = controls.join();
    if (told === this.toldHeard) return undefined;
    this.toldHeard = told;
    return create(controlMessage.HeardControlsSchema, { controls });
  }

  private weights(): controlMessage.NamedWeights[] {
    const { configuration, clock } = this.sources;
    const version = configuration.weightsVersion();
    if (version === this.weightsVersion) return [];
    this.weightsVersion = version;
    return configuration.recentWeights(clock.monotonic());
  }

  private ownLoads(): EventFields {
    const { loads } = this.sources;
    const told = loads.ownSince(this.loadPlace);
    this.loadPlace = loads.place();
    return { loads: told };
  }

  private ownWork(): EventFields {
    const { work } = this.sources;
    const told = work.ownSince(this.workPlace);
    this.workPlace = work.place();
    return { work: told, cached: this.cached(this.ownCached) };
  }

  private news(): EventFields {
    const { configuration, relayed, lostStores } = this.sources;
    const held = configuration.held();
    const isNewer = held.number > this.number;
    if (isNewer) this.number = held.number;
    const told = relayed.since(this.relayedPlace);
    this.relayedPlace = relayed.place();
    return {
      ...(isNewer && { content: held.content }),
      weights: this.weights(),
      relayed: told,
      heard: this.heard(),
      lostStores: [...lostStores()],
    };
  }

  private bulk(): EventFields {
    const { loads, others } = this.sources;
    const told = loads.since(this.loadPlace);
    this.loadPlace = loads.place();
    return { loads: told, work: this.work(), cached: this.cached(others.cached), kept: this.kept() };
  }

  private cached(parts: KeptParts): controlMessage.KeptChanges | undefined {
    const place = this.cachedPlace;
    this.cachedPlace = parts.place();
    return place === this.cachedPlace ? undefined : parts.since(place);
  }

  private kept(): controlMessage.KeptChanges | undefined {
    const { kept } = this.sources;
    const place = this.keptPlace;
    this.keptPlace = kept?.place() ?? 0;
    return place === this.keptPlace && place > 0 ? undefined : kept?.since(place);
  }

  /** One sum for each target: what single entries have there would be as many times as much. */
  private work(): controlMessage.EntryWork[] {
    const { work } = this.sources;
    if (work.place() === this.workPlace) return [];
    this.workPlace = work.place();
    const sums = new Map<string, number>();
    for (const { entry, targets } of work.within(WORK_LASTS_MS)) {
      if (entry === this.request.name) continue;
      for (const { targetId, tokens } of targets) sums.set(targetId, (sums.get(targetId) ?? 0) + tokens);
    }
    const targets = [...sums].map(([targetId, tokens]) =>
      create(controlMessage.TargetTokensSchema, { targetId, tokens }),
    );
    return [create(controlMessage.EntryWorkSchema, { entry: OTHERS, targets })];
  }
}
