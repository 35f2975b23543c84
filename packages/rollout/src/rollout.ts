/** The process beside a target, as a role. */
import { runLasting } from '@jasmineroute/core';
import { ChangeSignal, Controls, TurnClient } from '@jasmineroute/directory';
import { Follower, Knowledge, ReportSender } from '@jasmineroute/knowledge';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import { rolloutEvents } from './events.js';
import { Announcer, CacheReporter, LoadReporter, Observer, WeightsKeeper } from './sidecar/index.js';
import type { TargetPort } from './port/index.js';

/**
 * Longest wait for one control instance with a turn, milliseconds, before the next is asked: some ten times what a quorum
 * takes with slow disks. Behind a frozen instance a turn would be asked for, and given back, 1.5 s late, while all others wait.
 */
const TURN_ATTEMPT_MS = 500;

/** Control instances that it follows: one that tells, and a spare. Without any for a moment only a load of weights waits. */
const MOST_FOLLOWED = 2;

/** The target that the process stands beside. */
export interface Neighbour {
  /** host:port. */
  readonly address: string;
  readonly service: string;
  readonly port: TargetPort;
  /** Time after the naming of newer weights from which on nothing may begin on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
}

/** Follows control and keeps one target's weights. */
export class Rollout implements RoleProcess {
  private readonly follower: Follower;
  private readonly keeper: WeightsKeeper;
  private readonly sender: ReportSender;
  private readonly reporter: LoadReporter;
  private readonly cacheReporter: CacheReporter;
  private readonly announcer: Announcer;

  constructor(
    private readonly context: RoleContext,
    private readonly neighbour: Neighbour,
  ) {
    const { name, incarnation, controls, peers, clock, log, metrics, dataCentre } = context;
    const knowledge = new Knowledge(clock, log);
    const news = new ChangeSignal();
    knowledge.onNews(() => {
      news.raise();
    });
    const follower = { name, role: 'agent', listener: knowledge, peers, clock, log } as const;
    this.follower = new Follower({ ...follower, controls, most: MOST_FOLLOWED });
    const attemptMs = TURN_ATTEMPT_MS;
    const turns = new TurnClient(new Controls({ controls, peers, clock, metrics, dataCentre, attemptMs }));
    const observer = new Observer(() => this.follower.controls(), peers, log);
    const { address, port } = neighbour;
    const told = { controls: () => this.follower.controls(), peers, clock, log };
    this.sender = new ReportSender(told);
    const reported = { address, port, sender: this.sender, clock, log };
    this.reporter = new LoadReporter({ ...reported, knowledge });
    this.cacheReporter = new CacheReporter({ ...reported, entries: () => knowledge.entries() });
    this.announcer = new Announcer({
      address,
      service: neighbour.service,
      dataCentre,
      port,
      knowledge,
      news,
      ...told,
    });
    this.keeper = new WeightsKeeper({
      ...neighbour,
      name,
      incarnation,
      knowledge,
      news,
      turns,
      observer,
      clock,
      log,
    });
  }

  /** Other processes ask it for nothing. */
  routes(): void {
    return;
  }

  start(): Promise<void> {
    const { address, service } = this.neighbour;
    this.follower.start();
    runLasting('weights', this.keeper.run());
    runLasting('load reports', this.reporter.run());
    runLasting('cache reports', this.cacheReporter.run());
    runLasting('announcements', this.announcer.run());
    this.context.log.event(rolloutEvents.started, { target: address, service });
    return Promise.resolve();
  }

  readiness(): Readiness {
    return { ready: true, reason: 'standing beside its target' };
  }

  /** Replaces the control instances known from the settings. */
  reseed(controls: readonly string[]): void {
    this.follower.reseed(controls);
  }

  drain(): Promise<void> {
    this.keeper.stop();
    this.reporter.stop();
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
