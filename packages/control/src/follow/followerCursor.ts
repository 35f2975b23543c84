/** Tracks what one follower has received, and builds its next event. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { CachedParts } from '@jasmineroute/protocol';
import { isCaughtUp } from '../log/index.js';
import type { SharedUpdates } from './sharedUpdates.js';
import type { FollowSources } from './followSources.js';
import { changesSince } from './sharedFields.js';

/**
 * What the events of a stream contain:
 * - loads: for a control instance, the targets and loads that were reported directly to this one;
 * - own: for a control instance that relays to entries, directly reported work and caches as well;
 * - bulk: for an entry, everything that it needs for its decisions;
 * - spare: the configuration, weights and targets.
 */
export type StreamKind = 'loads' | 'own' | 'bulk' | 'spare';

type EventFields = Partial<Omit<controlMessage.FollowEvent, '$typeName' | '$unknown'>>;

/** The kind of stream that a request asks for. */
export function streamKindOf({
  role,
  bulk,
}: Pick<controlMessage.FollowRequest, 'role' | 'bulk'>): StreamKind {
  if (role === 'control') return bulk ? 'own' : 'loads';
  return bulk ? 'bulk' : 'spare';
}

/** Updates that are the same for all followers of a kind. */
export interface SharedStream {
  readonly updates: SharedUpdates;
  /** The share of one entry in the work that the updates sum up. */
  readonly workOf: (entry: string) => controlMessage.EntryWork | undefined;
}

/** Position of one follower in the changes. */
export class FollowerCursor {
  private targetPosition = 0;
  private loadPosition = 0;
  private workPosition = 0;
  private cachedPosition = 0;
  private evidencePosition = 0;
  private weightsVersion = -1;
  /** Number of the last shared update that was sent; undefined: none. */
  private updateNumber: number | undefined;
  /** Joined addresses that were sent last; undefined: none. */
  private sentControls: string | undefined;
  private configurationNumber: bigint;

  private readonly fields: Record<StreamKind, (version: number) => EventFields> = {
    loads: () => this.directLoads(),
    own: () => ({ ...this.directLoads(), ...this.directWork() }),
    bulk: (version) => this.routingFields(version),
    spare: (version) => this.routingFields(version),
  };

  /**
   * @param directCached cached blocks that were reported directly to this instance.
   * @param shared updates for followers other than control instances.
   */
  constructor(
    private readonly sources: FollowSources,
    private readonly directCached: CachedParts,
    private readonly request: controlMessage.FollowRequest,
    private readonly shared: SharedStream | undefined,
  ) {
    this.configurationNumber = request.number;
  }

  /**
   * Builds an event with all that the follower lacks, and advances its position.
   * @param entries number of entries to report to it.
   * @param version of the changes in the event.
   */
  event(entries: number, version: number): controlMessage.FollowEvent {
    const { commandLog, configuration } = this.sources;
    return create(controlMessage.FollowEventSchema, {
      ...this.fields[streamKindOf(this.request)](version),
      vouched: commandLog.status().vouched,
      number: configuration.held().number,
      sharedSince: configuration.sharing()?.since ?? 0n,
      controls: this.controls(),
      evidence: this.evidence(),
      entries,
    });
  }

  private evidence(): controlMessage.CrashEvidence[] {
    const { evidence } = this.sources;
    const changed = evidence.since(this.evidencePosition);
    this.evidencePosition = evidence.lastChangeNumber;
    return changed;
  }

  private controls(): string[] {
    const controls = this.sources.commandLog.members().map(({ address }) => address);
    const joined = controls.join();
    if (joined === this.sentControls) return [];
    this.sentControls = joined;
    return controls;
  }

  private weights(): controlMessage.NamedWeights[] {
    const { configuration, clock } = this.sources;
    const version = configuration.weightsVersion();
    if (version === this.weightsVersion) return [];
    this.weightsVersion = version;
    return configuration.recentWeights(clock.monotonic());
  }

  private directLoads(): EventFields {
    const { targets, loads } = this.sources;
    const fields = {
      targets: targets.since(this.targetPosition),
      loads: loads.directSince(this.loadPosition),
    };
    this.targetPosition = targets.lastChangeNumber();
    this.loadPosition = loads.lastSequenceNumber();
    return fields;
  }

  private directWork(): EventFields {
    const { work } = this.sources;
    const fields = {
      work: work.directSince(this.workPosition),
      cached: changesSince(this.directCached, this.cachedPosition),
    };
    this.workPosition = work.lastSequenceNumber();
    this.cachedPosition = this.directCached.position();
    return fields;
  }

  private routingFields(version: number): EventFields {
    const { commandLog, configuration, lostStores } = this.sources;
    const held = configuration.held();
    const isNewer = held.number > this.configurationNumber && isCaughtUp(commandLog.status());
    if (isNewer) this.configurationNumber = held.number;
    return {
      ...(isNewer && { content: held.content }),
      ...this.sharedFields(version),
      weights: this.weights(),
      lostStores: [...lostStores()],
    };
  }

  private sharedFields(version: number): EventFields {
    const pending = this.shared?.updates.since(this.updateNumber, version);
    if (pending === undefined || pending.shared.length === 0) return {};
    this.updateNumber = pending.number;
    const ownWork = this.shared?.workOf(this.request.name);
    return { shared: [...pending.shared], ownWork };
  }
}
