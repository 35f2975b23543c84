/** What one follower has been told, and what it lacks. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { KeptParts } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import type { CommandLog } from '../log/index.js';
import type { TargetBook } from '../targets/index.js';
import type { ReportBoards } from './reportIntake.js';

/** Role of the followers that are counted, and hear of loads, work and caches. */
const ENTRY = 'entry';

/** Whether a follower is an entry. */
export const isEntry = ({ role }: Pick<controlMessage.FollowRequest, 'role'>): boolean => role === ENTRY;

/** What the streams tell of. */
export interface FollowSources extends ReportBoards {
  readonly configuration: ConfigurationState;
  readonly targets: TargetBook;
  /** Addresses of stores that do not answer. */
  readonly lostStores: () => readonly string[];
  /** What stores keep; undefined where no store is watched. */
  readonly kept: KeptParts | undefined;
  readonly commandLog: CommandLog;
}

/** How far one follower has been told. */
export class FollowerPlace {
  private place = 0;
  private loadPlace = 0;
  private keptPlace = 0;
  private workPlace = 0;
  private cachedPlace = 0;
  private number: bigint;
  private readonly hearsLoads: boolean;
  private readonly name: string;
  private weights = 0;
  private vouched = false;

  constructor(
    private readonly sources: FollowSources,
    private readonly cached: KeptParts,
    request: controlMessage.FollowRequest,
  ) {
    this.number = request.number;
    this.hearsLoads = isEntry(request);
    this.name = request.name;
  }

  /** Whether there is something that it must hear of at once. */
  isBehind(): boolean {
    const { configuration, targets, commandLog } = this.sources;
    const isOld =
      configuration.held().number > this.number ||
      targets.place() > this.place ||
      configuration.weightsVersion() > this.weights;
    return isOld || commandLog.status().vouched !== this.vouched;
  }

  /** What it lacks, which counts as told from then on; `entries`: how many follow this instance. */
  event(entries: number): controlMessage.FollowEvent {
    const { configuration, targets, commandLog, loads, lostStores } = this.sources;
    const held = configuration.held();
    const { vouched } = commandLog.status();
    const event = create(controlMessage.FollowEventSchema, {
      vouched,
      number: held.number,
      content: held.number > this.number ? held.content : undefined,
      weights: configuration.recentWeights(this.sources.clock.monotonic()),
      targets: targets.since(this.place),
      controls: commandLog.members().map(({ address }) => address),
      entries,
      loads: this.hearsLoads ? loads.since(this.loadPlace) : [],
      lostStores: [...lostStores()],
      kept: this.kept(),
      work: this.work(),
      cached: this.cachedParts(),
    });
    this.loadPlace = loads.place();
    this.place = targets.place();
    this.vouched = vouched;
    this.weights = configuration.weightsVersion();
    if (held.number > this.number) this.number = held.number;
    return event;
  }

  private cachedParts(): controlMessage.KeptChanges | undefined {
    const place = this.cachedPlace;
    this.cachedPlace = this.cached.place();
    return this.hearsLoads && place !== this.cachedPlace ? this.cached.since(place) : undefined;
  }

  private work(): controlMessage.EntryWork[] {
    const place = this.workPlace;
    this.workPlace = this.sources.work.place();
    return this.hearsLoads ? this.sources.work.since(place).filter(({ entry }) => entry !== this.name) : [];
  }

  /**
   * What stores keep, from the leader alone: all instances know it, and each telling it would cost as many times the
   * bytes. An instance that leads no longer takes back what it told.
   */
  private kept(): controlMessage.KeptChanges | undefined {
    const { kept, commandLog } = this.sources;
    if (!this.hearsLoads || kept === undefined) return undefined;
    const place = this.keptPlace;
    const leads = commandLog.status().state === 'leader';
    this.keptPlace = leads ? kept.place() : 0;
    if (leads) return place === this.keptPlace && place > 0 ? undefined : kept.since(place);
    return place > 0 ? create(controlMessage.KeptChangesSchema, { whole: true }) : undefined;
  }
}
