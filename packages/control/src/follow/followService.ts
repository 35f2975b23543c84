/** Streams of configurations, weights and targets to those that route by them. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import { KeptParts, controlMessage } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import { controlEvents } from '../events.js';
import type { CommandLog } from '../log/index.js';
import type { RecentBoard } from '../recent/index.js';
import type { TargetBook } from '../targets/index.js';

/** Time between two events when nothing changes, milliseconds: how a follower knows that it still hears. */
const HEARTBEAT_MS = 800;

/** What a target has in its cache is believed for so long, milliseconds: it is told again three times as often. */
const CACHE_LASTS_MS = 5_000;

/** Role of the followers that are counted. */
const ENTRY = 'entry';

/** What the streams tell of. */
export interface FollowSources {
  readonly configuration: ConfigurationState;
  readonly targets: TargetBook;
  /** Loads of targets, by their ids. */
  readonly loads: RecentBoard<controlMessage.TargetLoad>;
  /** Work of entries, by their names. */
  readonly work: RecentBoard<controlMessage.EntryWork>;
  /** Addresses of stores that do not answer. */
  readonly lostStores: () => readonly string[];
  /** What stores keep; undefined where no store is watched. */
  readonly kept: KeptParts | undefined;
  readonly commandLog: CommandLog;
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted when this process stops: streams end, and followers go on with the other instances. */
  readonly ended: AbortSignal;
}

/** Serves followers, and control instances that want to vote. */
export class FollowService implements ServiceImpl<typeof controlMessage.Configurations> {
  private readonly changed = new ChangeSignal();
  /** Raised for those that hear loads. */
  private readonly loadsChanged = new ChangeSignal();
  /** Streams of entries that are open now, by the entry's name. */
  private readonly entries = new Map<string, number>();

  /** What targets have in their caches, as the processes beside them tell it. */
  private readonly cached = new KeptParts();
  private readonly cacheEnds = new Map<string, () => void>();

  constructor(private readonly sources: FollowSources) {
    const raise = this.raise;
    sources.configuration.onChange(raise);
    sources.targets.onChange(raise);
    for (const board of [sources.loads, sources.work]) {
      board.onChange(() => {
        this.loadsChanged.raise();
      });
    }
    sources.commandLog.onStatus(raise);
  }

  /** Tells followers that there is news. */
  readonly raise = (): void => {
    this.changed.raise();
  };

  /** What is held now, then what changes. */
  async *follow(
    request: controlMessage.FollowRequest,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.FollowEvent> {
    const { log, ended } = this.sources;
    const signal = AbortSignal.any([ended, context.signal]);
    const follower = new Follower(this.sources, this.cached, request);
    log.event(controlEvents.followed, { follower: request.name, number: Number(request.number) });
    const isEntry = request.role === ENTRY;
    if (isEntry) this.count(request.name, 1);
    try {
      while (!signal.aborted) {
        yield follower.event(this.entries.size);
        // What changed while the event was on its way out raised no signal that anybody waited for.
        if (!follower.isBehind()) await this.news(isEntry, signal);
      }
    } finally {
      if (isEntry) this.count(request.name, -1);
    }
  }

  /** Resolves when there is something to tell, or a heartbeat is due. */
  private async news(hearsLoads: boolean, signal: AbortSignal): Promise<void> {
    const { clock } = this.sources;
    const waits = [this.changed.wait(clock, HEARTBEAT_MS, signal)];
    if (hearsLoads) waits.push(this.loadsChanged.wait(clock, HEARTBEAT_MS, signal));
    await Promise.race(waits);
  }

  /** An entry that comes back has two streams for a moment, the old one not yet found dead: it counts once. */
  private count(name: string, change: number): void {
    const streams = (this.entries.get(name) ?? 0) + change;
    if (streams > 0) this.entries.set(name, streams);
    else this.entries.delete(name);
  }

  /** Takes what the process beside a target says of it. */
  observe(request: controlMessage.ObserveRequest): controlMessage.ObserveResponse {
    const known = this.sources.targets.observe(request);
    return create(controlMessage.ObserveResponseSchema, { known });
  }

  /** Takes a target's load. */
  reportLoad(load: controlMessage.TargetLoad): controlMessage.ReportLoadResponse {
    this.sources.loads.take(load.targetId, load);
    return create(controlMessage.ReportLoadResponseSchema, {});
  }

  /** Takes an entry's work. */
  reportWork(work: controlMessage.EntryWork): controlMessage.ReportWorkResponse {
    this.sources.work.take(work.entry, work);
    return create(controlMessage.ReportWorkResponseSchema, {});
  }

  /** Takes what a target has in its cache. */
  reportCache({ address, changes }: controlMessage.TargetCache): controlMessage.ReportCacheResponse {
    this.cacheEnds.get(address)?.();
    const end = this.sources.clock.after(CACHE_LASTS_MS, () => {
      this.cached.forget(address);
      this.cacheEnds.delete(address);
    });
    this.cacheEnds.set(address, end);
    if (changes !== undefined) this.cached.apply(address, changes);
    return create(controlMessage.ReportCacheResponseSchema, {});
  }

  /** Makes the asking instance a voter, if this one leads. */
  enlist(request: controlMessage.EnlistRequest): controlMessage.EnlistResponse {
    const { commandLog, log } = this.sources;
    const status = commandLog.status();
    const members = commandLog.members();
    if (status.state === 'leader') {
      log.event(controlEvents.enlisted, { name: request.name, address: request.address });
      void commandLog.enlist({ name: request.name, address: request.address });
      return create(controlMessage.EnlistResponseSchema, {});
    }
    const leader = members.find(({ name }) => name === status.leader)?.address ?? '';
    return create(controlMessage.EnlistResponseSchema, { leader });
  }
}

/** How far one follower has been told. */
class Follower {
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
    { number, role, name }: controlMessage.FollowRequest,
  ) {
    this.number = number;
    this.hearsLoads = role === ENTRY;
    this.name = name;
  }

  isBehind(): boolean {
    const { configuration, targets, commandLog } = this.sources;
    const isOld =
      configuration.held().number > this.number ||
      targets.place() > this.place ||
      configuration.weightsVersion() > this.weights;
    return isOld || commandLog.status().vouched !== this.vouched;
  }

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
