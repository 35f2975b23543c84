/** Weight updates of targets that have no agent process beside them, done by a control instance. */
import { create } from '@bufbuild/protobuf';
import type { TurnSource } from '@jasmineroute/agent';
import { runCriticalTask } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { ClusterView } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { UnattendedTargets } from '@jasmineroute/rollout';
import type { Observation, RemoteOrders } from '@jasmineroute/rollout';
import type { FollowService } from '../follow/index.js';
import type { CommandLog, Proposer } from '../log/index.js';
import type { RecentReports } from '../recent/index.js';

/** Above any configuration number, so that the stream omits the configuration, which would be held a second time. */
const NEWEST_NUMBER = BigInt(Number.MAX_SAFE_INTEGER);

/** Dependencies of `RemoteWeightUpdater`. */
export interface RemoteWeightUpdaterParts {
  readonly name: string;
  readonly incarnation: bigint;
  readonly follow: FollowService;
  readonly proposer: Proposer;
  readonly commandLog: CommandLog;
  readonly loads: RecentReports<controlMessage.TargetLoad>;
  readonly orders: RemoteOrders;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Follows its own control instance as an agent does, and updates the weights of unattended targets while that instance
 * leads the log.
 */
export class RemoteWeightUpdater {
  private readonly stopped = new AbortController();
  private readonly knowledge: ClusterView;
  private readonly unattended: UnattendedTargets;

  constructor(private readonly parts: RemoteWeightUpdaterParts) {
    const { name, incarnation, proposer, commandLog, loads, orders, clock, log, metrics } = parts;
    this.knowledge = new ClusterView(clock, log);
    this.unattended = new UnattendedTargets({
      ...orders,
      name,
      incarnation,
      knowledge: this.knowledge,
      turns: localTurns(proposer),
      observer: { tell: (observation) => this.observe(observation) },
      isAttended: (id, withinMs) => isAttended(loads, id, withinMs),
      acts: () => commandLog.status().state === 'leader' && commandLog.status().vouched,
      leads: () => commandLog.status().state === 'leader',
      clock,
      log,
      metrics,
    });
  }

  start(): void {
    runCriticalTask('knowledge of targets', this.followUpdates());
    runCriticalTask('unattended targets', this.unattended.run());
  }

  stop(): void {
    this.stopped.abort();
    this.unattended.stop();
  }

  private async followUpdates(): Promise<void> {
    const { name, follow } = this.parts;
    const { signal } = this.stopped;
    const request = create(controlMessage.FollowRequestSchema, {
      name,
      role: 'agent',
      number: NEWEST_NUMBER,
    });
    let isFirst = true;
    for await (const event of follow.follow(request, { signal })) {
      this.knowledge.apply(name, event, isFirst);
      isFirst = false;
    }
  }

  private observe({ targetId, number, paused, weights }: Observation): Promise<void> {
    const versions = [...weights].map(([model, version]) => ({ model, version: BigInt(version) }));
    const observed = { targetId, observation: number, paused, weights: versions };
    this.parts.follow.observe(create(controlMessage.ObserveRequestSchema, observed));
    return Promise.resolve();
  }
}

/** Whether the process beside a target has reported within the last `withinMs`, and can get the right to order. */
export function isAttended(
  loads: RecentReports<controlMessage.TargetLoad>,
  targetId: string,
  withinMs: number,
): boolean {
  return loads.recent(targetId, withinMs)?.ordersBlocked === false;
}

/** Turns proposed directly to the log that this instance leads. */
function localTurns(proposer: Proposer): TurnSource {
  return {
    take: (request) => proposer.propose('take', create(controlMessage.TakeRequestSchema, request)),
    release: async (request) => {
      const released = await proposer.propose(
        'release',
        create(controlMessage.ReleaseRequestSchema, request),
      );
      return released.map(() => undefined);
    },
  };
}
