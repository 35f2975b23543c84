/** Streams of configurations, weights and targets to those that route by them. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import { isCaughtUp } from '../log/index.js';
import { Coalescer } from '../recent/index.js';
import { Bulletins } from './bulletins.js';
import { FollowerPlace, shareOf } from './followerPlace.js';
import type { FollowSources } from './followSources.js';
import type { Share, SharedNews } from './followerPlace.js';
import { News } from './news.js';
import { Pacer } from './pacer.js';
import { ReportIntake } from './reportIntake.js';
import { SharedFieldsSource } from './sharedFields.js';

/** Time between two events when nothing changes, milliseconds: how a follower knows that it still hears. */
const HEARTBEAT_MS = 800;

/** Entries for which the times below hold; with more each event goes to as many more, and is gathered for longer. */
const ENTRIES_AT_ONCE = 8;

/** Work that is told within this time goes to an entry as one event, milliseconds: about as long as a prompt is read. */
const GATHER_WORK_MS = 25;

/** Changes of targets that an entry hears of together, milliseconds. */
const GATHER_TARGETS_MS = 5;

/** The same over streams that the follower keeps as spares, milliseconds. */
const GATHER_SPARE_MS = 25;

/** Loads and caches that an entry is told together at least, milliseconds: they change all the time, and are old already. */
const GATHER_LOADS_MS = 150;

/** What another control instance is told together to pass it on, at least, milliseconds. */
const GATHER_OWN_MS = 150;

/** Loads that another control instance is told together which passes nothing on, milliseconds: they show who is attended. */
const GATHER_OWN_LOADS_MS = 500;

const isForControl = (share: Share): boolean => share === 'own' || share === 'loads';

function sharedNews(sources: FollowSources, isBulk: boolean): SharedNews {
  const source = new SharedFieldsSource(sources, isBulk);
  return { bulletins: new Bulletins(source), workOf: (entry) => source.workOf(entry) };
}

/** Serves followers, and control instances that want to vote. */
export class FollowService implements ServiceImpl<typeof controlMessage.Configurations> {
  private readonly news: Record<Share, News> = {
    loads: new News(),
    own: new News(),
    bulk: new News(),
    spare: new News(),
  };
  private readonly shared: Partial<Record<Share, SharedNews>>;
  /** Streams of entries that ask for loads, work and caches, by the entry's name. */
  private readonly entries = new Map<string, number>();
  private readonly intake: ReportIntake;
  /** Contact and members as they were told last. */
  private toldStatus: string;
  /** Heartbeats of the log are read and answered between two events. */
  private readonly pacer = new Pacer();

  constructor(private readonly sources: FollowSources) {
    this.intake = new ReportIntake(sources, sources.others.cached);
    this.toldStatus = this.statusToTell();
    this.shared = { bulk: sharedNews(sources, true), spare: sharedNews(sources, false) };
    sources.configuration.onChange(() => {
      if (isCaughtUp(sources.commandLog.status())) this.raise();
    });
    sources.commandLog.onStatus(this.raiseStatus);
    this.gatherTargets();
    this.gatherBulk();
  }

  /** Tells followers at once that there is news. */
  readonly raise = (): void => {
    for (const news of Object.values(this.news)) news.raise();
  };

  /** Followers are told of the contact with a quorum and of the members only, not of each step of an election. */
  private readonly raiseStatus = (): void => {
    const status = this.statusToTell();
    if (status === this.toldStatus) return;
    this.toldStatus = status;
    this.raise();
  };

  private statusToTell(): string {
    const { commandLog } = this.sources;
    const members = commandLog.members().map(({ address }) => address);
    return [commandLog.status().vouched, ...members].join();
  }

  private gatherTargets(): void {
    const { targets, relayed } = this.sources;
    const { loads, own, bulk, spare } = this.news;
    const quick = [loads, own, bulk].map((news) => this.gathering(GATHER_TARGETS_MS, news));
    const slow = this.gathering(GATHER_SPARE_MS, spare);
    for (const gathering of [...quick, slow]) targets.onChange(gathering.recordChange);
    for (const gathering of [this.gathering(GATHER_TARGETS_MS, bulk), slow])
      relayed.onChange(gathering.recordChange);
  }

  private gatherBulk(): void {
    const { loads, work, others, clock } = this.sources;
    const { news } = this;
    const quick = this.gathering(GATHER_WORK_MS, news.bulk);
    const slow = this.gathering(GATHER_WORK_MS, news.bulk, GATHER_LOADS_MS);
    const own = this.gathering(GATHER_WORK_MS, news.own, GATHER_OWN_MS);
    const ownLoads = new Coalescer(clock, () => GATHER_OWN_LOADS_MS, news.loads.raise);
    work.onChange(quick.recordChange);
    work.onChange(own.recordChange);
    for (const gathering of [slow, own, ownLoads]) loads.onChange(gathering.recordChange);
    for (const gathering of [slow, own]) this.intake.onCached(gathering.recordChange);
    others.onCached(slow.recordChange);
  }

  /** Gathers for a time that grows with the number of entries, milliseconds, and for `leastMs` at least. */
  private gathering(ms: number, news: News, leastMs = 0): Coalescer {
    const times = (): number => Math.max(1, Math.ceil(this.allEntries() / ENTRIES_AT_ONCE));
    return new Coalescer(this.sources.clock, () => Math.max(leastMs, ms * times()), news.raise);
  }

  /** Entries that serve now, as far as the instances that are heard know. */
  private allEntries(): number {
    return this.entries.size + this.sources.others.entries();
  }

  /** What is held now, then what changes. */
  async *follow(
    request: controlMessage.FollowRequest,
    context: Pick<HandlerContext, 'signal'>,
  ): AsyncGenerator<controlMessage.FollowEvent> {
    const { log, clock, ended } = this.sources;
    const signal = AbortSignal.any([ended, context.signal]);
    const isGone = (): boolean => signal.aborted;
    const share = shareOf(request);
    const urgency = isForControl(share) ? 'control' : 'told';
    if (this.pacer.isBusy) yield create(controlMessage.FollowEventSchema, { queued: true });
    await this.pacer.next(isForControl(share) ? 'control' : 'first');
    if (isGone()) return;
    const follower = new FollowerPlace(this.sources, this.intake.cached, request, this.shared[share]);
    const news = this.news[share];
    log.event(controlEvents.followerConnected, {
      follower: request.name,
      share,
      number: Number(request.number),
    });
    if (share === 'bulk') this.count(request.name, 1);
    try {
      while (!isGone()) {
        const version = news.version();
        yield follower.event(isForControl(share) ? this.entries.size : this.allEntries(), version);
        await news.after(version, clock, HEARTBEAT_MS, signal);
        await this.pacer.next(urgency);
      }
    } finally {
      if (share === 'bulk') this.count(request.name, -1);
    }
  }

  /** Whether some entry has this instance tell it loads, work and caches. */
  tellsEntries(): boolean {
    return this.entries.size > 0;
  }

  /** An entry that comes back has two streams for a moment, the old one not yet found dead: it counts once. */
  private count(name: string, change: number): void {
    const streams = (this.entries.get(name) ?? 0) + change;
    if (streams > 0) this.entries.set(name, streams);
    else this.entries.delete(name);
  }

  /** Takes what the process beside a target says of it. */
  observe(request: controlMessage.ObserveRequest): controlMessage.ObserveResponse {
    const { targets, relayed } = this.sources;
    const target = relayed.find(request.targetId);
    if (target !== undefined) targets.adopt(target);
    return create(controlMessage.ObserveResponseSchema, { known: targets.observe(request) });
  }

  /** Takes a target from the process beside it. */
  announce(announced: controlMessage.AnnouncedTarget): controlMessage.AnnounceResponse {
    this.sources.targets.announce(announced);
    return create(controlMessage.AnnounceResponseSchema, {});
  }

  /** Takes what one process reports for others. */
  report(
    requests: AsyncIterable<controlMessage.ReportRequest>,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.ReportResponse> {
    return this.intake.take(requests, context);
  }

  /** Makes the asking instance a voter, if this one leads. */
  enlist(request: controlMessage.EnlistRequest): controlMessage.EnlistResponse {
    const { commandLog, log } = this.sources;
    const status = commandLog.status();
    const members = commandLog.members();
    if (status.state === 'leader') {
      log.event(controlEvents.voterRequested, { instance: request.name, address: request.address });
      void commandLog.enlist({ name: request.name, address: request.address });
      return create(controlMessage.EnlistResponseSchema, {});
    }
    const leader = members.find(({ name }) => name === status.leader)?.address ?? '';
    return create(controlMessage.EnlistResponseSchema, { leader });
  }
}
