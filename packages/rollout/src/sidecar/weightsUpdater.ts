/** Brings the target beside this process to the weights that operators named. */
import { Turn } from '@jasmineroute/agent';
import type { TurnSource } from '@jasmineroute/agent';
import type { Clock, Log } from '@jasmineroute/core';
import type { ChangeSignal } from '@jasmineroute/directory';
import type { Knowledge, Target } from '@jasmineroute/knowledge';
import { rolloutEvents } from '../events.js';
import type { TargetPort, TargetReport } from '../port/index.js';
import type { Observer } from './observer.js';

/**
 * Part of a service's targets that load at once, to the nearest whole number. A target that loads takes no work, and a
 * service may have lost a target already: with more, the others are overrun. About four rounds of 1 to 2 s end within
 * the 8 s that are agreed.
 */
const LOADING_PART = 0.25;

/**
 * Part of the time in which replaced weights may serve after which twice as many load at once: under load each round takes
 * 2 s and more, and what is behind at the end of that time serves nothing.
 */
const HURRY = 0.56;

/** Time of a turn, milliseconds: how long a process that was killed keeps others from loading. */
const TURN_MS = 3_000;

/** Time beyond the gap between two holders for which the right to order is taken, milliseconds: two renewals may be late. */
const ORDERS_SPARE_MS = 2_000;

/** Pause between two looks at what is wanted while the target is behind, milliseconds. */
const LOOK_MS = 100;

/** Longest pause between two looks while nothing is told, milliseconds. */
const IDLE_LOOK_MS = 1_000;

/**
 * Pause before a turn is asked for again, milliseconds for each target of the service, spread by half to either side. Each
 * question is an entry of the replicated log, synced by a quorum, so all targets together ask forty times a second, however
 * many there are: a turn that was given back is taken after some 25 ms.
 */
const ASK_MS = 25;

/** How long targets that are further behind go first, milliseconds: one of them may have nobody to give it orders. */
const YIELD_MS = 3_000;

/**
 * Time without any target loading after which the others' turn is over, milliseconds: whoever is next takes its turn
 * within some looks, unless it is lost and still counts as ready.
 */
const IDLE_MS = 500;

/** How long runs at a target are waited for before the order goes out, milliseconds: half of the short ones end in it. */
const SETTLE_MS = 600;

/** The same for requests that have made nothing yet: the order refuses them, which one that may go out once is lost by. */
const START_MS = 1_500;

/** Pause between two looks at a target that loads, milliseconds. */
const POLL_MS = 30;

/** Time that entries get to hear of a pause before the order goes out, milliseconds: some one-way delays. */
const PAUSE_LEAD_MS = 40;

/** Longest wait for a report or an order's answer, milliseconds. */
const CALL_MS = 500;

/** Longest wait for weights, milliseconds: some targets that load at once take longer. */
const LOAD_MS = 10_000;

/** A pause is told again after so long, milliseconds: control forgets one that is not renewed. */
const RENEW_PAUSE_MS = 2_000;

/** What the keeper works with. */
export interface KeeperParts {
  readonly name: string;
  readonly incarnation: bigint;
  /** host:port of the target. */
  readonly address: string;
  readonly service: string;
  /** Time after the naming of newer weights from which on nothing may begin on older ones, milliseconds. */
  readonly weightsLimitMs: number;
  readonly port: TargetPort;
  readonly knowledge: Knowledge;
  readonly turns: TurnSource;
  readonly observer: Pick<Observer, 'tell'>;
  /** Raised with each event of a control instance. */
  readonly news: ChangeSignal;
  /** Shortest time between the orders of two holders to one target, milliseconds. */
  readonly orderGapMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** Weights that the target lacks. */
interface Wish {
  readonly model: string;
  readonly version: number;
}

/** What an order needs: one of the service's turns to load, and the right to order the target. */
interface Rights {
  readonly turn: Turn;
  readonly orders: Turn;
}

/** Number of an observation in a turn: the end of a pause counts against a later word of its begin, told by a detour. */
const observationOf = (fence: bigint, paused: boolean): bigint => fence * 2n + (paused ? 0n : 1n);

/** One task that pulls the wanted state, so that a late message never brings an older one back. */
export class WeightsKeeper {
  private readonly stopped = new AbortController();
  /** Monotonic time since which no target was seen loading while this one waits for its turn. */
  private idleSince: number | undefined;

  constructor(private readonly parts: KeeperParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, news } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isBehind = await this.look();
      if (isBehind) await clock.sleep(LOOK_MS, signal).catch(() => undefined);
      else await news.wait(clock, IDLE_LOOK_MS, signal);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Compares what was named with what the target has, and acts on a difference. @returns whether there may be one. */
  async look(): Promise<boolean> {
    const { knowledge, address } = this.parts;
    const target = knowledge.targets.at(address);
    if (target === undefined || !this.mayBeBehind(target)) {
      this.idleSince = undefined;
      return false;
    }
    const report = await this.report();
    if (report === undefined) return true;
    const wish = this.wishOf(report);
    if (wish === undefined) await this.correct(target, report);
    else if (!report.busy) await this.replace(target, wish);
    return true;
  }

  private mayBeBehind({ weights }: Target): boolean {
    const { knowledge } = this.parts;
    return knowledge
      .models()
      .some((model) => weights.has(model) && (weights.get(model) ?? 0) < this.namedVersion(model));
  }

  private namedVersion(model: string): number {
    return this.parts.knowledge.weightsOf(model)?.version ?? 0;
  }

  private async report(): Promise<TargetReport | undefined> {
    const { port, log, address } = this.parts;
    const report = await port.report(CALL_MS);
    if (report.isOk()) return report.value;
    log.event(rolloutEvents.unreachable, { address, problem: report.error.message });
    return undefined;
  }

  /** The newest version that the target lacks: versions that were overtaken meanwhile are left out. */
  private wishOf({ weights }: TargetReport): Wish | undefined {
    for (const [model, version] of weights) {
      const wanted = this.namedVersion(model);
      if (version < wanted) return { model, version: wanted };
    }
    return undefined;
  }

  /** The target has the weights, and others don't know it yet. */
  private async correct(target: Target, { weights }: TargetReport): Promise<void> {
    await this.parts.observer.tell({ targetId: target.id, number: 0n, paused: false, weights });
  }

  private async replace(target: Target, wish: Wish): Promise<void> {
    const { name, incarnation, service, turns, clock } = this.parts;
    const limit = this.limitFor(target, wish);
    if (this.isOthersTurn(target, wish, limit)) return;
    const turn = await Turn.take(turns, clock, {
      name: `weights/${service}`,
      holder: name,
      incarnation,
      limit,
      ttlMs: TURN_MS,
    });
    if (turn === undefined) {
      await this.pauseBeforeAsking();
      return;
    }
    try {
      await this.loadAlone(target, wish, turn);
    } finally {
      await turn.release();
    }
  }

  /**
   * With the right to order this target, which one process has at a time: the one beside it, or a control instance in its
   * place. It is left to lapse, so that another holder's order follows the last one by the gap that is agreed. Its start does
   * not count: a process that starts again is the same holder, and need not wait for what it held itself.
   */
  private async loadAlone(target: Target, wish: Wish, turn: Turn): Promise<void> {
    const { name, address, turns, clock, orderGapMs } = this.parts;
    const ttlMs = orderGapMs + ORDERS_SPARE_MS;
    const right = { name: `orders/${address}`, holder: name, incarnation: 0n, limit: 1, ttlMs };
    const orders = await Turn.take(turns, clock, right);
    if (orders === undefined) {
      await this.pauseBeforeAsking();
      return;
    }
    try {
      await this.load(target, wish, { turn, orders });
    } finally {
      orders.lapse();
    }
  }

  /** What is left of the pause after the next look's own. */
  private async pauseBeforeAsking(): Promise<void> {
    const { knowledge, service, clock } = this.parts;
    const pauseMs = ASK_MS * knowledge.targets.count(service) * (0.5 + Math.random());
    await clock.sleep(Math.max(0, pauseMs - LOOK_MS), this.stopped.signal).catch(() => undefined);
  }

  /** How many of the service's targets may load at once. */
  private limitFor(target: Target, { model }: Wish): number {
    const { knowledge, service, clock, weightsLimitMs } = this.parts;
    const since = knowledge.staleSince(model, target.weights.get(model) ?? 0) ?? clock.monotonic();
    const hurry = clock.monotonic() - since > weightsLimitMs * HURRY ? 2 : 1;
    return Math.max(1, Math.round(knowledge.targets.count(service) * LOADING_PART * hurry));
  }

  /**
   * Whether other targets are to load first: those that are further behind, and of equals the lower ids. In any other
   * order some targets are brought to each of several versions named in quick succession, while others stay on weights
   * that may serve no longer. The order of ids is known to entries, which keep long streams off those that are next.
   */
  private isOthersTurn(target: Target, { model }: Wish, limit: number): boolean {
    const { knowledge, service, clock } = this.parts;
    const own = target.weights.get(model) ?? 0;
    const since = knowledge.staleSince(model, own);
    if (since === undefined || clock.monotonic() - since > YIELD_MS) return false;
    if (this.idleMs() > IDLE_MS) return false;
    const before = knowledge.targets.ready(service).filter(({ id, weights }) => {
      const version = weights.get(model) ?? own;
      return version < own || (version === own && id < target.id);
    });
    return before.length >= limit;
  }

  /** How long no target of the service has been loading while this one looked, milliseconds. */
  private idleMs(): number {
    const { knowledge, service, clock } = this.parts;
    const isLoading = knowledge.targets.count(service) > knowledge.targets.ready(service).length;
    if (isLoading) this.idleSince = undefined;
    else this.idleSince ??= clock.monotonic();
    return this.idleSince === undefined ? 0 : clock.monotonic() - this.idleSince;
  }

  /**
   * Entries hear of the pause before the order goes out: requests that reach a target whose weights are being
   * replaced are refused there, and one that may be sent only once is lost to its caller.
   */
  private async load(target: Target, wish: Wish, { turn, orders }: Rights): Promise<void> {
    const { observer, clock } = this.parts;
    const tell = (paused: boolean, weights: ReadonlyMap<string, number> = new Map()): Promise<void> =>
      observer.tell({ targetId: target.id, number: observationOf(turn.fence, paused), paused, weights });
    await tell(true);
    await clock.sleep(PAUSE_LEAD_MS);
    await this.settle();
    const ordered = await this.order(target, wish, { turn, orders });
    const weights = ordered ? await this.awaitWeights(wish, turn, () => tell(true)) : undefined;
    await tell(false, weights);
  }

  /** Lets what waits at the target begin, and short runs end. */
  private async settle(): Promise<void> {
    const { clock } = this.parts;
    const begunAt = clock.monotonic();
    for (;;) {
      const report = await this.report();
      const tookMs = clock.monotonic() - begunAt;
      if (report === undefined || tookMs >= START_MS) return;
      const left = tookMs < SETTLE_MS ? report.waiting + report.running : report.unstarted;
      if (left === 0) return;
      await clock.sleep(POLL_MS);
    }
  }

  /**
   * Runs that are left go on under the new weights: waiting for them would take a target out for seconds, and overrun the
   * others. What a run makes after the change is worth nothing, but those that are left are few: long streams that may go
   * on elsewhere have left.
   */
  private async order(target: Target, wish: Wish, { turn, orders }: Rights): Promise<boolean> {
    const { port, name, log } = this.parts;
    const report = await this.report();
    if (report === undefined || report.busy) return false;
    // Last of all: whatever is waited for after it, the right may be another's by then.
    const isConfirmed = await orders.confirm();
    if (!isConfirmed || !turn.held || this.stopped.signal.aborted) return false;
    const newest = this.wishOf(report) ?? wish;
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
      CALL_MS,
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
    // Without an answer it may be carried out all the same: what the target reports decides.
    return outcome === 'accepted' || outcome === 'unanswered';
  }

  /** Waits until the target has a version at least as new. */
  private async awaitWeights(
    { model, version }: Wish,
    turn: Turn,
    renew: () => Promise<void>,
  ): Promise<ReadonlyMap<string, number> | undefined> {
    const { clock, log } = this.parts;
    const begunAt = clock.monotonic();
    let renewedAt = begunAt;
    while (clock.monotonic() - begunAt < LOAD_MS && !this.stopped.signal.aborted) {
      const report = await this.report();
      if (report !== undefined && !report.busy && (report.weights.get(model) ?? 0) >= version) {
        const tookMs = Math.round(clock.monotonic() - begunAt);
        log.event(rolloutEvents.loaded, { model, version, tookMs, fence: Number(turn.fence) });
        return report.weights;
      }
      if (report !== undefined && !report.busy && clock.monotonic() - begunAt > CALL_MS) break;
      if (clock.monotonic() - renewedAt > RENEW_PAUSE_MS) {
        renewedAt = clock.monotonic();
        await renew();
      }
      await clock.sleep(POLL_MS);
    }
    log.event(rolloutEvents.notLoaded, { model, version, waitedMs: Math.round(clock.monotonic() - begunAt) });
    return undefined;
  }
}
