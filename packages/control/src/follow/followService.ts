/** Streams of configurations, weights and targets to those that route by them. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { ChangeSignal } from '@jasmineroute/directory';
import { KeptParts, controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import { FollowerPlace, isEntry } from './followerPlace.js';
import type { FollowSources } from './followerPlace.js';

/** Time between two events when nothing changes, milliseconds: how a follower knows that it still hears. */
const HEARTBEAT_MS = 800;

/** What a target has in its cache is believed for so long, milliseconds: it is told again three times as often. */
const CACHE_LASTS_MS = 5_000;

/** Serves followers, and control instances that want to vote. */
export class FollowService implements ServiceImpl<typeof controlMessage.Configurations> {
  /** Raised with each change that all followers hear of. */
  private readonly changed = new ChangeSignal();
  /**
   * Raised with those, and with what entries alone hear of, some ten times a second. Each stream waits for one signal: a
   * wait for another one beside it would stay until its time is over, thirty of them for each entry.
   */
  private readonly changedForEntries = new ChangeSignal();
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
        this.changedForEntries.raise();
      });
    }
    sources.commandLog.onStatus(raise);
  }

  /** Tells followers that there is news. */
  readonly raise = (): void => {
    this.changed.raise();
    this.changedForEntries.raise();
  };

  /** What is held now, then what changes. */
  async *follow(
    request: controlMessage.FollowRequest,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.FollowEvent> {
    const { log, clock, ended } = this.sources;
    const signal = AbortSignal.any([ended, context.signal]);
    const follower = new FollowerPlace(this.sources, this.cached, request);
    log.event(controlEvents.followed, { follower: request.name, number: Number(request.number) });
    const news = isEntry(request) ? this.changedForEntries : this.changed;
    if (isEntry(request)) this.count(request.name, 1);
    try {
      while (!signal.aborted) {
        yield follower.event(this.entries.size);
        // What changed while the event was on its way out raised no signal that anybody waited for.
        if (!follower.isBehind()) await news.wait(clock, HEARTBEAT_MS, signal);
      }
    } finally {
      if (isEntry(request)) this.count(request.name, -1);
    }
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

  /** Takes a target from the process beside it. */
  announce(announced: controlMessage.AnnouncedTarget): controlMessage.AnnounceResponse {
    this.sources.targets.announce(announced);
    return create(controlMessage.AnnounceResponseSchema, {});
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
