/** Brings weights to targets that have no process beside them. */
import type { TurnSource } from '@jasmineroute/agent';
import { runLasting } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import type { Knowledge, Target } from '@jasmineroute/knowledge';
import { rolloutEvents } from '../events.js';
import { WeightsKeeper } from '../sidecar/index.js';
import type { Observer } from '../sidecar/index.js';
import type { TargetPort } from '../port/index.js';

/** How often it is looked who has a process beside it, milliseconds. */
const LOOK_MS = 250;

/**
 * Time without a report after which a target counts as unattended, milliseconds: a process beside a target reports each
 * 0.8 s, and one that has just started needs a second to be heard.
 */
const UNATTENDED_MS = 3_000;

/** How orders are given to targets of which no process beside them tells. */
export interface RemoteOrders {
  /** The target at host:port. */
  readonly targetAt: (address: string) => TargetPort;
  /** Time after the naming of newer weights from which on nothing may begin on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
}

/** What it works with. */
export interface UnattendedParts extends RemoteOrders {
  readonly name: string;
  readonly incarnation: bigint;
  readonly knowledge: Knowledge;
  readonly turns: TurnSource;
  readonly observer: Pick<Observer, 'tell'>;
  /** Whether the process beside a target reported within a time, milliseconds. */
  readonly isReported: (targetId: string, withinMs: number) => boolean;
  /** Whether this instance is the one that acts: the leader of the log. */
  readonly acts: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * A target whose instance runs no process of the system, or whose process was killed or is frozen, would stay on old weights
 * and soon serve nothing. Its reports are missed, and a keeper takes its place until they are back. The right to order, held
 * in the log, keeps the two apart.
 */
export class UnattendedTargets {
  private readonly stopped = new AbortController();
  private readonly keepers = new Map<string, WeightsKeeper>();
  /** Monotonic time since which a target is known here without a report. */
  private readonly unreportedSince = new Map<string, number>();

  private readonly news = new ChangeSignal();

  constructor(private readonly parts: UnattendedParts) {
    parts.knowledge.onNews(() => {
      this.news.raise();
    });
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      this.look();
      await clock.sleep(LOOK_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
    for (const id of [...this.keepers.keys()]) this.leave(id);
  }

  /** Takes the place of processes that are gone, and gives it back to those that are there again. */
  look(): void {
    const { knowledge, acts } = this.parts;
    const targets = knowledge.targets.weighted();
    const unattended = new Set(targets.filter((target) => this.isUnattended(target)).map(({ id }) => id));
    const mayAct = acts();
    for (const id of [...this.keepers.keys()]) if (!mayAct || !unattended.has(id)) this.leave(id);
    for (const id of this.unreportedSince.keys()) {
      if (!targets.some((target) => target.id === id)) this.unreportedSince.delete(id);
    }
    if (!mayAct) return;
    for (const target of targets) if (unattended.has(target.id)) this.take(target);
  }

  private isUnattended({ id }: Target): boolean {
    const { isReported, clock } = this.parts;
    if (isReported(id, UNATTENDED_MS)) {
      this.unreportedSince.delete(id);
      return false;
    }
    const now = clock.monotonic();
    const since = this.unreportedSince.get(id) ?? now;
    this.unreportedSince.set(id, since);
    return now - since >= UNATTENDED_MS;
  }

  private take({ id, address, service }: Target): void {
    if (this.keepers.has(id)) return;
    const { targetAt, log } = this.parts;
    const { news } = this;
    const keeper = new WeightsKeeper({ ...this.parts, news, address, service, port: targetAt(address) });
    this.keepers.set(id, keeper);
    log.event(rolloutEvents.unattended, { target: id, address });
    runLasting('weights of an unattended target', keeper.run());
  }

  private leave(id: string): void {
    this.keepers.get(id)?.stop();
    this.keepers.delete(id);
    this.parts.log.event(rolloutEvents.attended, { target: id });
  }
}
