/** Streams of configurations, weights, targets and reports to the processes that route by them. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { controlMessage, startFields } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import { isCaughtUp } from '../log/index.js';
import { Coalescer } from '../recent/index.js';
import { SoftwareVersions } from '../softwareVersions/index.js';
import { SharedUpdates } from './sharedUpdates.js';
import { FollowerCursor, streamKindOf } from './followerCursor.js';
import type { FollowSources } from './followSources.js';
import type { StreamKind, SharedStream } from './followerCursor.js';
import { UpdateSignal } from './updateSignal.js';
import { EventLoopScheduler } from './eventLoopScheduler.js';
import { ReportReceiver } from './reportReceiver.js';
import { SharedFieldsSource } from './sharedFields.js';

/** Time between two events without changes, milliseconds, by which a follower knows that the stream is alive. */
const HEARTBEAT_MS = 800;

/** The delays below hold for up to so many entries and grow in proportion beyond: each event then has more receivers. */
const ENTRIES_PER_DELAY = 8;

/** Delay that coalesces reports on work into one event, milliseconds: about the duration of a prefill. */
const WORK_DELAY_MS = 25;

/** Delay that coalesces changes of targets, milliseconds. */
const TARGETS_DELAY_MS = 5;

/** The same on spare streams, milliseconds. */
const SPARE_DELAY_MS = 25;

/**
 * Minimum delay of loads and caches to entries, milliseconds: they change continuously, and are not fresh on arrival
 * anyway.
 */
const LOADS_DELAY_MS = 150;

/** Minimum delay of reports to a control instance that relays them, milliseconds. */
const RELAY_DELAY_MS = 150;

/**
 * Delay of loads to a control instance that relays nothing, milliseconds: it needs them only to know which targets have a
 * process beside them.
 */
const CONTROL_LOADS_DELAY_MS = 500;

const isControlStream = (kind: StreamKind): boolean => kind === 'own' || kind === 'loads';

function sharedStream(sources: FollowSources, isBulk: boolean): SharedStream {
  const source = new SharedFieldsSource(sources, isBulk);
  return { updates: new SharedUpdates(source), workOf: (entry) => source.workOf(entry) };
}

/** Serves followers, reports, and control instances that request the voter role. */
export class FollowService implements ServiceImpl<typeof controlMessage.Configurations> {
  private readonly signals: Record<StreamKind, UpdateSignal> = {
    loads: new UpdateSignal(),
    own: new UpdateSignal(),
    bulk: new UpdateSignal(),
    spare: new UpdateSignal(),
  };
  private readonly shared: Partial<Record<StreamKind, SharedStream>>;
  /** Number of streams of entries that request loads, work and caches, by the entry's name. */
  private readonly entries = new Map<string, number>();
  private readonly receiver: ReportReceiver;
  private readonly versions: SoftwareVersions;
  /** Quorum contact and members at the last notification. */
  private lastStatus: string;
  /** Leaves time between two events to read and answer heartbeats of the log. */
  private readonly scheduler: EventLoopScheduler;

  constructor(private readonly sources: FollowSources) {
    this.scheduler = new EventLoopScheduler(sources.clock);
    this.versions = new SoftwareVersions(sources);
    this.receiver = new ReportReceiver(sources, sources.others.cached);
    this.lastStatus = this.relevantStatus();
    this.shared = { bulk: sharedStream(sources, true), spare: sharedStream(sources, false) };
    sources.configuration.onChange(() => {
      if (isCaughtUp(sources.commandLog.status())) this.notify();
    });
    sources.commandLog.onStatus(this.notifyStatus);
    this.subscribeToTargets();
    this.subscribeToReports();
  }

  /** Wakes all streams at once. */
  readonly notify = (): void => {
    for (const signal of Object.values(this.signals)) signal.notify();
  };

  /** Wakes the streams when the quorum contact or the members change, not at each step of an election. */
  private readonly notifyStatus = (): void => {
    const status = this.relevantStatus();
    if (status === this.lastStatus) return;
    this.lastStatus = status;
    this.notify();
  };

  private relevantStatus(): string {
    const { commandLog } = this.sources;
    const members = commandLog.members().map(({ address }) => address);
    return [commandLog.status().vouched, ...members].join();
  }

  private subscribeToTargets(): void {
    const { targets, relayed, evidence } = this.sources;
    const { loads, own, bulk, spare } = this.signals;
    const quick = [loads, own, bulk].map((signal) => this.coalescer(TARGETS_DELAY_MS, signal));
    const slow = this.coalescer(SPARE_DELAY_MS, spare);
    for (const coalescer of [...quick, slow]) {
      targets.onChange(coalescer.recordChange);
      evidence.onChange(coalescer.recordChange);
    }
    for (const coalescer of [this.coalescer(TARGETS_DELAY_MS, bulk), slow])
      relayed.onChange(coalescer.recordChange);
  }

  private subscribeToReports(): void {
    const { loads, work, others, clock } = this.sources;
    const { signals } = this;
    const quick = this.coalescer(WORK_DELAY_MS, signals.bulk);
    const slow = this.coalescer(WORK_DELAY_MS, signals.bulk, LOADS_DELAY_MS);
    const own = this.coalescer(WORK_DELAY_MS, signals.own, RELAY_DELAY_MS);
    const controlLoads = new Coalescer(clock, () => CONTROL_LOADS_DELAY_MS, signals.loads.notify);
    work.onChange(quick.recordChange);
    work.onChange(own.recordChange);
    for (const coalescer of [slow, own, controlLoads]) loads.onChange(coalescer.recordChange);
    for (const coalescer of [slow, own]) this.receiver.onCached(coalescer.recordChange);
    others.onCached(slow.recordChange);
  }

  /** Coalesces changes for a time that grows with the number of entries, and for `leastMs` milliseconds at least. */
  private coalescer(ms: number, signal: UpdateSignal, leastMs = 0): Coalescer {
    const factor = (): number => Math.max(1, Math.ceil(this.totalEntries() / ENTRIES_PER_DELAY));
    return new Coalescer(this.sources.clock, () => Math.max(leastMs, ms * factor()), signal.notify);
  }

  /** Number of entries that follow this instance or one that it follows. */
  private totalEntries(): number {
    return this.entries.size + this.sources.others.entries();
  }

  /** Streams the current state, then the changes. */
  async *follow(
    request: controlMessage.FollowRequest,
    context: Pick<HandlerContext, 'signal'>,
  ): AsyncGenerator<controlMessage.FollowEvent> {
    const { log, clock, ended } = this.sources;
    const signal = AbortSignal.any([ended, context.signal]);
    const isGone = (): boolean => signal.aborted;
    const kind = streamKindOf(request);
    const priority = isControlStream(kind) ? 'control' : 'told';
    if (this.scheduler.isBusy) yield create(controlMessage.FollowEventSchema, { queued: true });
    await this.scheduler.next(isControlStream(kind) ? 'control' : 'first');
    if (isGone()) return;
    const follower = new FollowerCursor(this.sources, this.receiver.cached, request, this.shared[kind]);
    const updates = this.signals[kind];
    log.event(controlEvents.followerConnected, {
      follower: request.name,
      share: kind,
      number: Number(request.number),
    });
    if (kind === 'bulk') this.count(request.name, 1);
    try {
      while (!isGone()) {
        const version = updates.version();
        yield follower.event(isControlStream(kind) ? this.entries.size : this.totalEntries(), version);
        await updates.waitForChange(version, clock, HEARTBEAT_MS, signal);
        await this.scheduler.next(priority);
      }
    } finally {
      if (kind === 'bulk') this.count(request.name, -1);
    }
  }

  /** Whether an entry receives loads, work and caches from this instance. */
  hasEntryStreams(): boolean {
    return this.entries.size > 0;
  }

  /** Counts an entry once although it may have two streams after a reconnect, until the old one is found dead. */
  private count(name: string, change: number): void {
    const streams = (this.entries.get(name) ?? 0) + change;
    if (streams > 0) this.entries.set(name, streams);
    else this.entries.delete(name);
  }

  /** Takes an observation by the process beside a target. */
  observe(request: controlMessage.ObserveRequest): controlMessage.ObserveResponse {
    const { targets, relayed } = this.sources;
    const target = relayed.find(request.targetId);
    if (target !== undefined) targets.adopt(target);
    return create(controlMessage.ObserveResponseSchema, { known: targets.observe(request) });
  }

  /** Takes the announcement of a target by the process beside it. */
  announce(announced: controlMessage.AnnouncedTarget): controlMessage.AnnounceResponse {
    this.sources.targets.announce(announced);
    return create(controlMessage.AnnounceResponseSchema, {});
  }

  /** Receives the reports of one process. */
  report(
    requests: AsyncIterable<controlMessage.ReportRequest>,
    context: HandlerContext,
  ): AsyncGenerator<controlMessage.ReportResponse> {
    return this.receiver.receive(requests, context);
  }

  /** The origins of streams that are known here. */
  findOrigins(request: controlMessage.FindOriginsRequest): controlMessage.FindOriginsResponse {
    return this.sources.origins.find(request);
  }

  /** The software versions of a service that are known here. */
  listSoftwareVersions(
    request: controlMessage.ListSoftwareVersionsRequest,
  ): controlMessage.ListSoftwareVersionsResponse {
    return this.versions.list(request);
  }

  /** The newest starts of some targets, and when these called this instance. */
  findStarts({ names }: controlMessage.FindStartsRequest): controlMessage.FindStartsResponse {
    const starts = this.sources.targets.heardStarts(names).map(({ start, heardMs }) =>
      // Rounded up: a start must not seem to have called later than it did.
      create(controlMessage.HeardStartSchema, {
        ...startFields(start),
        heardMs: heardMs === undefined ? undefined : Math.ceil(heardMs),
      }),
    );
    return create(controlMessage.FindStartsResponseSchema, { starts });
  }

  /** Requests that crashed targets, as known here. */
  listQuarantine(request: controlMessage.ListQuarantineRequest): controlMessage.ListQuarantineResponse {
    return this.sources.evidence.list(request);
  }

  /** Releases a request that crashed targets. */
  releaseQuarantined(
    request: controlMessage.ReleaseQuarantinedRequest,
  ): controlMessage.ReleaseQuarantinedResponse {
    return this.sources.evidence.release(request);
  }

  /** Makes the requesting instance a voter if this one leads, else names the leader. */
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
