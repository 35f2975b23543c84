/** What one follower has been told, and what it lacks. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { KeptParts } from '@jasmineroute/protocol';
import { isCaughtUp } from '../log/index.js';
import type { Bulletins } from './bulletins.js';
import type { FollowSources } from './followSources.js';
import { changesOf } from './sharedFields.js';

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

/** What followers of a kind are told alike. */
export interface SharedNews {
  readonly bulletins: Bulletins;
  /** What an entry told itself of the work that they tell. */
  readonly workOf: (entry: string) => controlMessage.EntryWork | undefined;
}

/** How far one follower has been told. */
export class FollowerPlace {
  private targetPlace = 0;
  private loadPlace = 0;
  private workPlace = 0;
  private cachedPlace = 0;
  private weightsVersion = -1;
  /** Number of the last bulletin that it was told; undefined: none was. */
  private bulletin: number | undefined;
  /** Joined addresses that were told last; undefined: none were. */
  private toldControls: string | undefined;
  private number: bigint;

  private readonly fields: Record<Share, (version: number) => EventFields> = {
    loads: () => this.ownLoads(),
    own: () => ({ ...this.ownLoads(), ...this.ownWork() }),
    bulk: (version) => this.news(version),
    spare: (version) => this.news(version),
  };

  /**
   * @param ownCached what this instance was told of caches itself.
   * @param shared for followers that are no control instances.
   */
  constructor(
    private readonly sources: FollowSources,
    private readonly ownCached: KeptParts,
    private readonly request: controlMessage.FollowRequest,
    private readonly shared: SharedNews | undefined,
  ) {
    this.number = request.number;
  }

  /**
   * What it lacks, which counts as told from then on.
   * @param entries how many it is to know of.
   * @param version of the news that it is told.
   */
  event(entries: number, version: number): controlMessage.FollowEvent {
    const { commandLog, configuration } = this.sources;
    return create(controlMessage.FollowEventSchema, {
      ...this.fields[shareOf(this.request)](version),
      vouched: commandLog.status().vouched,
      number: configuration.held().number,
      controls: this.controls(),
      entries,
    });
  }

  private controls(): string[] {
    const controls = this.sources.commandLog.members().map(({ address }) => address);
    const told = controls.join();
    if (told === this.toldControls) return [];
    this.toldControls = told;
    return controls;
  }

  private weights(): controlMessage.NamedWeights[] {
    const { configuration, clock } = this.sources;
    const version = configuration.weightsVersion();
    if (version === this.weightsVersion) return [];
    this.weightsVersion = version;
    return configuration.recentWeights(clock.monotonic());
  }

  private ownLoads(): EventFields {
    const { targets, loads } = this.sources;
    const fields = { targets: targets.since(this.targetPlace), loads: loads.directSince(this.loadPlace) };
    this.targetPlace = targets.place();
    this.loadPlace = loads.lastSequenceNumber();
    return fields;
  }

  private ownWork(): EventFields {
    const { work } = this.sources;
    const fields = {
      work: work.directSince(this.workPlace),
      cached: changesOf(this.ownCached, this.cachedPlace),
    };
    this.workPlace = work.lastSequenceNumber();
    this.cachedPlace = this.ownCached.place();
    return fields;
  }

  private news(version: number): EventFields {
    const { commandLog, configuration, lostStores } = this.sources;
    const held = configuration.held();
    const isNewer = held.number > this.number && isCaughtUp(commandLog.status());
    if (isNewer) this.number = held.number;
    return {
      ...(isNewer && { content: held.content }),
      ...this.bulletins(version),
      weights: this.weights(),
      lostStores: [...lostStores()],
    };
  }

  private bulletins(version: number): EventFields {
    const news = this.shared?.bulletins.since(this.bulletin, version);
    if (news === undefined || news.shared.length === 0) return {};
    this.bulletin = news.number;
    const ownWork = this.shared?.workOf(this.request.name);
    return { shared: [...news.shared], ownWork };
  }
}
