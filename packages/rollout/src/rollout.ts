/** Role of the process beside a target. */
import { runCriticalTask } from '@jasmineroute/core';
import { ChangeSignal, ControlClient, TurnClient } from '@jasmineroute/directory';
import { Follower, ClusterView, ReportSender } from '@jasmineroute/knowledge';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import { rolloutEvents } from './events.js';
import {
  Announcer,
  AnsweredTurns,
  CacheReporter,
  LoadReporter,
  Observer,
  WeightsUpdater,
} from './sidecar/index.js';
import type { TargetPort } from './port/index.js';

/**
 * Timeout of a turn request at one control instance before the next is tried, milliseconds: about ten times what a quorum
 * takes with slow disks. With a frozen instance a turn would be taken and released 1.5 s late, while all others wait.
 */
const TURN_ATTEMPT_TIMEOUT_MS = 500;

/** Control instances to follow: a primary and a spare. While none is available, only loads of weights wait. */
const FOLLOWED_CONTROLS = 2;

/** The target beside the process. */
export interface ManagedTarget {
  /** host:port. */
  readonly address: string;
  readonly service: string;
  readonly port: TargetPort;
  /** Time after the request of newer weights from which on no run may start on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
}

/** Follows control, reports one target's state and updates its weights. */
export class Rollout implements RoleProcess {
  private readonly follower: Follower;
  private readonly weightsUpdater: WeightsUpdater;
  private readonly sender: ReportSender;
  private readonly loadReporter: LoadReporter;
  private readonly cacheReporter: CacheReporter;
  private readonly announcer: Announcer;

  constructor(
    private readonly context: RoleContext,
    private readonly target: ManagedTarget,
  ) {
    const { name, incarnation, controls, peers, clock, log, metrics, dataCentre } = context;
    const knowledge = new ClusterView(clock, log);
    const changes = new ChangeSignal();
    knowledge.onEvent(() => {
      changes.raise();
    });
    const followerParts = { name, role: 'agent', listener: knowledge, peers, clock, log } as const;
    this.follower = new Follower({ ...followerParts, controls, maxFollowed: FOLLOWED_CONTROLS });
    const followed = (): string[] => this.follower.controls();
    const attemptMs = TURN_ATTEMPT_TIMEOUT_MS;
    const turnParts = { controls: followed, peers, clock, metrics, dataCentre, attemptMs };
    const turns = new AnsweredTurns(new TurnClient(new ControlClient(turnParts)));
    const observer = new Observer(followed, peers, log);
    const { address, port } = target;
    const controlParts = { controls: followed, peers, clock, log };
    this.sender = new ReportSender(controlParts);
    const reporterParts = { address, port, sender: this.sender, clock, log };
    const canOrder = (): boolean => turns.isAnswered;
    this.loadReporter = new LoadReporter({ ...reporterParts, knowledge, canOrder });
    this.cacheReporter = new CacheReporter({ ...reporterParts, entries: () => knowledge.entries() });
    this.announcer = new Announcer({
      address,
      service: target.service,
      dataCentre,
      port,
      knowledge,
      changes,
      ...controlParts,
    });
    this.weightsUpdater = new WeightsUpdater({
      ...target,
      name,
      incarnation,
      knowledge,
      changes,
      turns,
      observer,
      clock,
      log,
    });
  }

  /** Serves no routes. */
  routes(): void {
    return;
  }

  start(): Promise<void> {
    const { address, service } = this.target;
    this.follower.start();
    runCriticalTask('weights', this.weightsUpdater.run());
    runCriticalTask('load reports', this.loadReporter.run());
    runCriticalTask('cache reports', this.cacheReporter.run());
    runCriticalTask('announcements', this.announcer.run());
    this.context.log.event(rolloutEvents.started, { target: address, service });
    return Promise.resolve();
  }

  readiness(): Readiness {
    return { ready: true, reason: 'running beside its target' };
  }

  /** Replaces the seed addresses of control instances. */
  reseed(controls: readonly string[]): void {
    this.follower.reseed(controls);
  }

  drain(): Promise<void> {
    this.weightsUpdater.stop();
    this.loadReporter.stop();
    this.cacheReporter.stop();
    this.announcer.stop();
    this.sender.close();
    return Promise.resolve();
  }

  async close(): Promise<void> {
    await this.drain();
    this.follower.stop();
  }
}
