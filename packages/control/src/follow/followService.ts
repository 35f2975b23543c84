/** Streams of configurations, weights and targets to those that route by them. */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { ChangeSignal } from '@jasmineroute/directory';
import { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import { FollowerPlace, isEntry } from './followerPlace.js';
import type { FollowSources } from './followerPlace.js';
import { ReportIntake } from './reportIntake.js';

/** Time between two events when nothing changes, milliseconds: how a follower knows that it still hears. */
const HEARTBEAT_MS = 800;

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
  private readonly intake: ReportIntake;

  constructor(private readonly sources: FollowSources) {
    const raise = this.raise;
    this.intake = new ReportIntake(sources);
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
    const follower = new FollowerPlace(this.sources, this.intake.cached, request);
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
      log.event(controlEvents.enlisted, { name: request.name, address: request.address });
      void commandLog.enlist({ name: request.name, address: request.address });
      return create(controlMessage.EnlistResponseSchema, {});
    }
    const leader = members.find(({ name }) => name === status.leader)?.address ?? '';
    return create(controlMessage.EnlistResponseSchema, { leader });
  }
}
