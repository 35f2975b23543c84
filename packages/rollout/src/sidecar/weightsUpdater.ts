/** Updates a target to the weights that operators requested. */
import { Turn } from '@jasmineroute/agent';
import type { TurnSource } from '@jasmineroute/agent';
import type { Clock, Log } from '@jasmineroute/core';
import type { ChangeSignal } from '@jasmineroute/directory';
import type { ClusterView, Target } from '@jasmineroute/knowledge';
import { rolloutEvents } from '../events.js';
import type { TargetPort, TargetReport } from '../port/index.js';
import type { Observer } from './observer.js';

/**
 * Fraction of a service's targets that load at once, to the nearest whole number. A target that loads accepts no work, and a
 * service may have lost a target already: a larger fraction overloads the others. About four rounds of 1 to 2 s end within
 * the agreed 8 s.
 */
const LOADING_FRACTION = 0.25;

/**
 * Fraction of the time in which superseded weights may serve after which twice as many targets load at once: under load each
 * round takes 2 s and more, and a target with old weights at the end of that time may not serve.
 */
const CATCH_UP_FRACTION = 0.56;

/** Lease time of a turn, milliseconds: a process that was killed keeps others from loading for that long. */
const TURN_TTL_MS = 3_000;

/** Lease time of the right to order beyond the gap between two holders, milliseconds: two renewals may be late. */
const ORDER_RIGHT_MARGIN_MS = 2_000;

/** Poll interval while the target has old weights, milliseconds. */
const POLL_INTERVAL_MS = 100;

/** Longest poll interval while the target is up to date and no event arrives, milliseconds. */
const IDLE_POLL_INTERVAL_MS = 1_000;

/**
 * Pause before a turn is requested again, milliseconds per target of the service, with a jitter of half to either side. Each
 * request is an entry of the replicated log, synced by a quorum, so all targets together make forty requests a second,
 * whatever their number: a released turn is taken after some 25 ms.
 */
const TURN_RETRY_MS = 25;

/** Longest time for which targets with older weights go first, milliseconds: one of them may have no process to order it. */
const MAX_YIELD_MS = 3_000;

/**
 * Time without any loading target after which this one stops yielding, milliseconds: the next in order takes its turn within
 * a few polls, unless it is lost and still counts as ready.
 */
const IDLE_SERVICE_MS = 500;

/** Longest wait for runs at the target before the order is sent, milliseconds: half of the short runs end within it. */
const SHORT_RUNS_WAIT_MS = 600;

/** The same for requests without output, milliseconds: the order rejects them, and one that may be sent only once is lost. */
const UNSTARTED_WAIT_MS = 1_500;

/** Poll interval of a target that loads, milliseconds. */
const LOAD_POLL_INTERVAL_MS = 30;

/** Time for a pause to reach the entries before the order is sent, milliseconds: several one-way delays. */
const PAUSE_PROPAGATION_MS = 40;

/** Timeout of a report or an order, milliseconds. */
const CALL_TIMEOUT_MS = 500;

/** Timeout of a load of weights, milliseconds: targets that load at the same time take longer. */
const LOAD_TIMEOUT_MS = 10_000;

/** Interval at which a pause is renewed, milliseconds: control drops one that is not. */
const PAUSE_RENEWAL_MS = 2_000;

/** Dependencies and settings of the updater. */
export interface WeightsUpdaterParts {
  readonly name: string;
  readonly incarnation: bigint;
  /** host:port of the target. */
  readonly address: string;
  readonly service: string;
  /** Time after the request of newer weights from which on no run may start on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  readonly port: TargetPort;
  readonly knowledge: ClusterView;
  readonly turns: TurnSource;
  readonly observer: Pick<Observer, 'tell'>;
  /** Raised with each event of a control instance. */
  readonly changes: ChangeSignal;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** Weights that the target lacks. */
interface MissingWeights {
  readonly model: string;
  readonly version: number;
}

/** Leases that a load needs: one of the service's turns to load, and the right to order the target. */
interface LoadRights {
  readonly turn: Turn;
  readonly orders: Turn;
}

/** Number of an observation: the end of a pause is higher, so that a delayed observation of its begin does not undo it. */
const observationNumber = (fence: bigint, paused: boolean): bigint => fence * 2n + (paused ? 0n : 1n);

/** Reconciles the target with the requested state in a single loop, so that a late message never restores an older state. */
export class WeightsUpdater {
  private readonly stopped = new AbortController();
  /** Monotonic time since which no target has been loading while this one waits for its turn. */
  private idleSince: number | undefined;

  constructor(private readonly parts: WeightsUpdaterParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, changes } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isBehind = await this.poll();
      if (isBehind) await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
      else await changes.wait(clock, IDLE_POLL_INTERVAL_MS, signal);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Compares the requested weights with those of the target, and updates it. @returns whether they may differ. */
  async poll(): Promise<boolean> {
    const { knowledge, address } = this.parts;
    const target = knowledge.targets.at(address);
    if (target === undefined || !this.mayBeBehind(target)) {
      this.idleSince = undefined;
      return false;
    }
    const report = await this.report();
    if (report === undefined) return true;
    const missing = this.missingWeights(report);
    if (missing === undefined) await this.reportWeights(target, report);
    else if (!report.busy) await this.replace(target, missing);
    return true;
  }

  private mayBeBehind({ weights }: Target): boolean {
    const { knowledge } = this.parts;
    return knowledge
      .models()
      .some((model) => weights.has(model) && (weights.get(model) ?? 0) < this.requestedVersion(model));
  }

  private requestedVersion(model: string): number {
    return this.parts.knowledge.weightsOf(model)?.version ?? 0;
  }

  private async report(): Promise<TargetReport | undefined> {
    const { port, log, address } = this.parts;
    const report = await port.report(CALL_TIMEOUT_MS);
    if (report.isOk()) return report.value;
    log.event(rolloutEvents.unreachable, { address, problem: report.error.message });
    return undefined;
  }

  /** The newest version that the target lacks; versions that have been superseded are skipped. */
  private missingWeights({ weights }: TargetReport): MissingWeights | undefined {
    for (const [model, version] of weights) {
      const wanted = this.requestedVersion(model);
      if (version < wanted) return { model, version: wanted };
    }
    return undefined;
  }

  /** Reports weights that the target already has and others don't know of yet. */
  private async reportWeights(target: Target, { weights }: TargetReport): Promise<void> {
    await this.parts.observer.tell({ targetId: target.id, number: 0n, paused: false, weights });
  }

  private async replace(target: Target, missing: MissingWeights): Promise<void> {
    const { name, incarnation, service, turns, clock } = this.parts;
    const limit = this.loadingLimit(target, missing);
    if (this.mustYield(target, missing, limit)) return;
    const turn = await Turn.take(turns, clock, {
      name: `weights/${service}`,
      holder: name,
      incarnation,
      limit,
      ttlMs: TURN_TTL_MS,
    });
    if (turn === undefined) {
      await this.waitBeforeRetry();
      return;
    }
    try {
      await this.loadExclusively(target, missing, turn);
    } finally {
      await turn.release();
    }
  }

  /**
   * Loads while holding the right to order this target, which one process has at a time: the one beside it, or a control
   * instance in its place. The right is left to lapse, so that the agreed gap passes before an order of another holder. It is
   * taken without the incarnation: a process that restarts is the same holder, and need not wait for its own lease.
   */
  private async loadExclusively(target: Target, missing: MissingWeights, turn: Turn): Promise<void> {
    const { name, address, turns, clock, orderGapMs } = this.parts;
    const ttlMs = orderGapMs + ORDER_RIGHT_MARGIN_MS;
    const orderRight = { name: `orders/${address}`, holder: name, incarnation: 0n, limit: 1, ttlMs };
    const orders = await Turn.take(turns, clock, orderRight);
    if (orders === undefined) {
      await this.waitBeforeRetry();
      return;
    }
    try {
      await this.load(target, missing, { turn, orders });
    } finally {
      orders.letExpire();
    }
  }

  /** Waits for the part of the retry pause that exceeds the poll interval. */
  private async waitBeforeRetry(): Promise<void> {
    const { knowledge, service, clock } = this.parts;
    const pauseMs = TURN_RETRY_MS * knowledge.targets.count(service) * (0.5 + Math.random());
    await clock.sleep(Math.max(0, pauseMs - POLL_INTERVAL_MS), this.stopped.signal).catch(() => undefined);
  }

  /** Number of the service's targets that may load at once. */
  private loadingLimit(target: Target, { model }: MissingWeights): number {
    const { knowledge, service, clock, weightsLimitMs } = this.parts;
    const since = knowledge.staleSince(model, target.weights.get(model) ?? 0) ?? clock.monotonic();
    const catchUpFactor = clock.monotonic() - since > weightsLimitMs * CATCH_UP_FRACTION ? 2 : 1;
    return Math.max(1, Math.round(knowledge.targets.count(service) * LOADING_FRACTION * catchUpFactor));
  }

  /**
   * Whether other targets load first: those with older weights, and of equals the lower ids. In any other order some targets
   * would load each of several versions requested in quick succession, while others stay on weights that may no longer serve.
   * Entries know the order of ids, and keep long streams off the targets that are next.
   */
  private mustYield(target: Target, { model }: MissingWeights, limit: number): boolean {
    const { knowledge, service, clock } = this.parts;
    const own = target.weights.get(model) ?? 0;
    const since = knowledge.staleSince(model, own);
    if (since === undefined || clock.monotonic() - since > MAX_YIELD_MS) return false;
    if (this.idleMs() > IDLE_SERVICE_MS) return false;
    const goFirst = knowledge.targets.ready(service).filter(({ id, weights }) => {
      const version = weights.get(model) ?? own;
      return version < own || (version === own && id < target.id);
    });
    return goFirst.length >= limit;
  }

  /** Time for which no target of the service has been loading while this one polled, milliseconds. */
  private idleMs(): number {
    const { knowledge, service, clock } = this.parts;
    const isLoading = knowledge.targets.count(service) > knowledge.targets.ready(service).length;
    if (isLoading) this.idleSince = undefined;
    else this.idleSince ??= clock.monotonic();
    return this.idleSince === undefined ? 0 : clock.monotonic() - this.idleSince;
  }

  /**
   * Announces the pause to entries before the order is sent: requests that reach a target whose weights are being replaced
   * are refused there, and one that may be sent only once is lost to its caller.
   */
  private async load(target: Target, missing: MissingWeights, { turn, orders }: LoadRights): Promise<void> {
    const { observer, clock } = this.parts;
    const sendObservation = (
      paused: boolean,
      weights: ReadonlyMap<string, number> = new Map(),
    ): Promise<void> =>
      observer.tell({ targetId: target.id, number: observationNumber(turn.fence, paused), paused, weights });
    await sendObservation(true);
    await clock.sleep(PAUSE_PROPAGATION_MS);
    await this.awaitRuns();
    const isOrdered = await this.order(target, missing, { turn, orders });
    const weights = isOrdered
      ? await this.awaitWeights(missing, turn, () => sendObservation(true))
      : undefined;
    await sendObservation(false, weights);
  }

  /** Waits for queued requests to start and for short runs to end. */
  private async awaitRuns(): Promise<void> {
    const { clock } = this.parts;
    const begunAt = clock.monotonic();
    for (;;) {
      const report = await this.report();
      const tookMs = clock.monotonic() - begunAt;
      if (report === undefined || tookMs >= UNSTARTED_WAIT_MS) return;
      const left = tookMs < SHORT_RUNS_WAIT_MS ? report.waiting + report.running : report.unstarted;
      if (left === 0) return;
      await clock.sleep(LOAD_POLL_INTERVAL_MS);
    }
  }

  /**
   * Sends the order. Remaining runs go on under the new weights: waiting for them would take the target out of service for
   * seconds, and overload the others. Their output after the change is not usable, but only few remain: long streams that can
   * be continued elsewhere have been moved.
   */
  private async order(
    target: Target,
    missing: MissingWeights,
    { turn, orders }: LoadRights,
  ): Promise<boolean> {
    const { port, name, log } = this.parts;
    const report = await this.report();
    if (report === undefined || report.busy) return false;
    // The last step before the order: during any later wait the right may pass to another holder.
    const isConfirmed = await orders.confirm();
    if (!isConfirmed || !turn.held || this.stopped.signal.aborted) return false;
    const newest = this.missingWeights(report) ?? missing;
    const runs = report.running > 0 ? 'continue' : 'finish';
    const sent = await port.order(
      {
        ...newest,
        runs,
        holder: name,
        fence: orders.fence,
        expectedOrders: report.orders,
        targetName: target.name,
      },
      CALL_TIMEOUT_MS,
    );
    const outcome = sent.isOk() ? sent.value : 'unanswered';
    log.event(rolloutEvents.ordered, {
      target: target.id,
      ...newest,
      fence: Number(orders.fence),
      orders: report.orders,
      running: report.running,
      unstarted: report.unstarted,
      outcome,
    });
    // An unanswered order may still be carried out: the reports of the target decide.
    return outcome === 'accepted' || outcome === 'unanswered';
  }

  /** Waits until the target has a version at least as new. */
  private async awaitWeights(
    { model, version }: MissingWeights,
    turn: Turn,
    renewPause: () => Promise<void>,
  ): Promise<ReadonlyMap<string, number> | undefined> {
    const { clock, log } = this.parts;
    const begunAt = clock.monotonic();
    let renewedAt = begunAt;
    while (clock.monotonic() - begunAt < LOAD_TIMEOUT_MS && !this.stopped.signal.aborted) {
      const report = await this.report();
      if (report !== undefined && !report.busy && (report.weights.get(model) ?? 0) >= version) {
        const tookMs = Math.round(clock.monotonic() - begunAt);
        log.event(rolloutEvents.weightsLoaded, { model, version, tookMs, fence: Number(turn.fence) });
        return report.weights;
      }
      if (report !== undefined && !report.busy && clock.monotonic() - begunAt > CALL_TIMEOUT_MS) break;
      if (clock.monotonic() - renewedAt > PAUSE_RENEWAL_MS) {
        renewedAt = clock.monotonic();
        await renewPause();
      }
      await clock.sleep(LOAD_POLL_INTERVAL_MS);
    }
    log.event(rolloutEvents.weightsNotLoaded, {
      model,
      version,
      waitedMs: Math.round(clock.monotonic() - begunAt),
    });
    return undefined;
  }
}
