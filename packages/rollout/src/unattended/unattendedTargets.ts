/** Updates the weights of targets without a process beside them. */
import type { TurnSource } from '@jasmineroute/agent';
import { superviseTask } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import type { ClusterView, Target } from '@jasmineroute/knowledge';
import { rolloutEvents } from '../events.js';
import { rolloutMetrics } from '../metrics.js';
import { WeightsUpdater } from '../sidecar/index.js';
import type { Observer } from '../sidecar/index.js';
import type { TargetPort } from '../port/index.js';

/** Interval at which targets are checked for a process beside them that can order, milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time without a report of a process that can order after which a target counts as unattended, milliseconds: a process beside
 * a target reports every 0.8 s, and the first report of one that has just started takes a second.
 */
const UNATTENDED_AFTER_MS = 3_000;

/** Settings for orders to unattended targets. */
export interface RemoteOrders {
  /** The target at host:port. */
  readonly targetAt: (address: string) => TargetPort;
  /** Time after the request of newer weights from which on no run may start on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
}

/** Dependencies and settings of the updates. */
export interface UnattendedParts extends RemoteOrders {
  readonly name: string;
  readonly incarnation: bigint;
  readonly knowledge: ClusterView;
  readonly turns: TurnSource;
  readonly observer: Pick<Observer, 'tell'>;
  /** Whether the process beside a target has reported within the last `withinMs`, and can get the right to order. */
  readonly isAttended: (targetId: string, withinMs: number) => boolean;
  /** Whether this instance is the one that acts: the leader of the replicated log, in contact with a quorum. */
  readonly acts: () => boolean;
  /** Whether it leads, though it may be out of contact for a moment. */
  readonly leads: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The updater of one target, which a supervised task runs until it is stopped. */
interface RunningUpdater {
  readonly stopped: AbortController;
  updater: WeightsUpdater | undefined;
}

/**
 * A target whose instance runs no process of the system, or whose process was killed, is frozen or can't get the right to
 * order, would stay on old weights and soon be excluded from serving. An updater runs here until that process reports that it
 * can order. The right to order, a lease in the replicated log, keeps the two from ordering at the same time.
 */
export class UnattendedTargets {
  private readonly stopped = new AbortController();
  private readonly updaters = new Map<string, RunningUpdater>();
  /** Monotonic time since which a target has been known here without a process that can order, by its id. */
  private readonly unattendedSince = new Map<string, number>();

  private readonly changes = new ChangeSignal();

  constructor(private readonly parts: UnattendedParts) {
    parts.knowledge.onEvent(() => {
      this.changes.raise();
    });
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      this.check();
      await clock.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
    for (const id of [...this.updaters.keys()]) this.stopUpdater(id);
  }

  /** Starts updaters for unattended targets, and stops those of targets whose process can order again. */
  check(): void {
    const { knowledge, acts, leads } = this.parts;
    const targets = knowledge.targets.weighted();
    const unattended = new Set(targets.filter((target) => this.isUnattended(target)).map(({ id }) => id));
    const mayAct = acts();
    // Out of contact an updater gets no lease and gives no order, but need not begin anew.
    const mayGoOn = mayAct || leads();
    for (const id of [...this.updaters.keys()]) if (!mayGoOn || !unattended.has(id)) this.stopUpdater(id);
    for (const id of this.unattendedSince.keys()) {
      if (!targets.some((target) => target.id === id)) this.unattendedSince.delete(id);
    }
    if (!mayAct) return;
    for (const target of targets) if (unattended.has(target.id)) this.startUpdater(target);
  }

  private isUnattended({ id }: Target): boolean {
    const { isAttended, clock } = this.parts;
    if (isAttended(id, UNATTENDED_AFTER_MS)) {
      this.unattendedSince.delete(id);
      return false;
    }
    const now = clock.monotonic();
    const since = this.unattendedSince.get(id) ?? now;
    this.unattendedSince.set(id, since);
    return now - since >= UNATTENDED_AFTER_MS;
  }

  private startUpdater({ id, address, service }: Target): void {
    if (this.updaters.has(id)) return;
    const { targetAt, clock, log, metrics } = this.parts;
    const { changes } = this;
    const running: RunningUpdater = { stopped: new AbortController(), updater: undefined };
    this.updaters.set(id, running);
    log.event(rolloutEvents.unattended, { target: id, address });
    const update = async (): Promise<void> => {
      const port = targetAt(address);
      running.updater = new WeightsUpdater({ ...this.parts, changes, address, service, port });
      await running.updater.run();
    };
    void superviseTask(update, {
      clock,
      signal: running.stopped.signal,
      onFailure: (error) => {
        metrics.count(rolloutMetrics.updaterFailures);
        log.event(rolloutEvents.updaterFailed, { target: id, address, problem: String(error) });
      },
    });
  }

  private stopUpdater(id: string): void {
    const running = this.updaters.get(id);
    running?.stopped.abort();
    running?.updater?.stop();
    this.updaters.delete(id);
    this.parts.log.event(rolloutEvents.attended, { target: id });
  }
}
