/** The executor of wanted state: the only one that gives this target orders. */
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import type { View } from '@jasmineroute/directory';
import type { Engine, EngineModel } from '@jasmineroute/engine';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';
import { assign } from './assignment.js';
import { SettledNames } from './settled.js';
import { stepsOf } from './step.js';
import type { Situation, Step } from './step.js';
import { Turn } from './turn.js';
import type { TurnSource } from './turn.js';

/**
 * Pause after a round; up to twice as long, so that herds spread. While others have the turns it doubles up to
 * the limit: a rollout over hundreds of targets must not keep control busy with refusals.
 */
const PAUSE_MS = 2_000;
const MAX_PAUSE_MS = 30_000;

/** Pause after a round that got something done. */
const SHORT_PAUSE_MS = 50;

/** Longest time of one order: loading waits for the weight store. */
const ORDER_TIMEOUT_MS = 15 * 60_000;

/** What the executor needs. */
export interface ExecutorOptions {
  readonly service: string;
  /** Name and incarnation of this agent. */
  readonly name: string;
  readonly incarnation: bigint;
  readonly engine: Engine;
  readonly turns: TurnSource;
  readonly view: () => View;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long a change of the targets must last before it moves models, milliseconds. */
  readonly settleMs: number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** What the engine has loaded; undefined while it is not known. */
  readonly loaded: () => readonly EngineModel[] | undefined;
  /** How many other targets accept work for a model's version, asked of them directly. */
  readonly othersServing: (model: string, version: string) => Promise<number>;
  /** Takes a model out of service here, and resolves when no run of it is left. */
  readonly withdraw: (model: string, signal: AbortSignal) => Promise<void>;
  /** Puts it back. */
  readonly restore: (model: string) => void;
  /** Looks at the engine now. */
  readonly look: () => Promise<void>;
}

/** Other servers of the new weights from which on targets replace theirs side by side. */
const WELL_SERVED = 2;

const takesWork: ReadonlySet<string> = new Set(['alive', 'suspect']);

/** What came of a round: an order was carried out, none is due, or one is due and cannot be yet. */
type Progress = 'done' | 'idle' | 'not-now';

/** The turns for a step. */
interface Turns {
  readonly all: readonly Turn[];
  /** The right to give this target orders; its fence goes out with them. */
  readonly lease: Turn;
}

/** One task. It pulls the wanted state; nobody pushes orders to it, so none can be late or forged. */
export class Executor {
  private wake?: () => void;
  private woken = false;
  private readonly targets: SettledNames;

  constructor(private readonly options: ExecutorOptions) {
    this.targets = new SettledNames(options.clock, options.settleMs);
  }

  /** The view or the engine has changed. */
  poke(): void {
    this.woken = true;
    this.wake?.();
  }

  /** Works until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let pauseMs = PAUSE_MS;
    while (!signal.aborted) {
      const progress = await this.round(signal);
      pauseMs = progress === 'not-now' ? Math.min(MAX_PAUSE_MS, pauseMs * 2) : PAUSE_MS;
      const jittered = pauseMs * (1 + this.options.random());
      await this.pause(progress === 'done' ? SHORT_PAUSE_MS : jittered, progress !== 'not-now', signal);
    }
  }

  /** Tries the steps that are due until one is done. */
  async round(signal: AbortSignal): Promise<Progress> {
    const steps = this.steps();
    for (const step of steps) {
      if (signal.aborted) break;
      if (await this.attempt(step, signal)) return 'done';
    }
    return steps.length === 0 ? 'idle' : 'not-now';
  }

  /** Steps that are due by what is known at this moment. */
  steps(): Step[] {
    const situation = this.situation();
    return situation === undefined ? [] : stepsOf(situation);
  }

  private situation(): Situation | undefined {
    const { name, service, view, loaded } = this.options;
    const { documents, instances, vouched } = view();
    const document = documents.get(service)?.document;
    const has = loaded();
    // An isolated source may hold an old document: nothing is ordered on its word.
    if (!vouched || has === undefined || document?.kind !== 'model' || !document.weights.managed)
      return undefined;
    const targets = [...instances.values()]
      .filter(({ health, target }) => target?.service === service && takesWork.has(health))
      .map((instance) => instance.name);
    const names = this.targets.update([...new Set([...targets, name])].sort());
    if (names === undefined) return undefined;
    const wanted = assign(document.models, names).get(name) ?? [];
    return { models: document.models, wanted, loaded: has };
  }

  /** @returns whether the step was carried out. */
  private async attempt(step: Step, signal: AbortSignal): Promise<boolean> {
    const turns = await this.turnsFor(step);
    if (turns === undefined) return false;
    try {
      // A turn may have been long in coming. What was due then may be void now.
      if (!this.stillDue(step)) {
        this.options.log.event(agentEvents.orderVoid, { order: step.order });
        return false;
      }
      const held = turns.all.map((turn) => turn.signal);
      return await this.carryOut(step, turns.lease, AbortSignal.any([signal, ...held]));
    } finally {
      for (const turn of turns.all) await turn.release();
    }
  }

  private stillDue(step: Step): boolean {
    const text = JSON.stringify(step);
    return this.steps().some((due) => JSON.stringify(due) === text);
  }

  /** Turns for a step, all or none; those that are most likely taken come first. */
  private async turnsFor(step: Step): Promise<Turns | undefined> {
    const { service, name } = this.options;
    const held: Turn[] = [];
    for (const [turnName, limit] of await this.sharedTurns(step)) {
      const turn = await this.take(turnName, limit);
      if (turn === undefined) return this.giveBack(held);
      held.push(turn);
    }
    // One executor for each target: a paused older process keeps its turn until it must have noticed.
    const lease = await this.take(`target/${service}/${name}`, 1);
    if (lease === undefined) return this.giveBack(held);
    return { all: [...held, lease], lease };
  }

  private async sharedTurns(step: Step): Promise<[string, number][]> {
    const { service } = this.options;
    const wishes: [string, number][] = [];
    if (step.fetches) wishes.push([`weights/${service}`, this.concurrentLoads()]);
    // Two targets that each see the other serve the model must not both take it away.
    if (step.takesAway !== undefined && !(await this.wellServed(step))) {
      wishes.push([`rollout/${service}/${step.model}`, 1]);
    }
    return wishes;
  }

  private async giveBack(held: readonly Turn[]): Promise<undefined> {
    for (const turn of held) await turn.release();
    return undefined;
  }

  /**
   * Whether new weights may replace old ones without the turn of the rollout. One other server is not enough:
   * it may hold that turn and be about to unload. Of two, one stays, as unloading takes the turn.
   */
  private async wellServed({ model, order }: Step): Promise<boolean> {
    if (order.type !== 'load-model') return false;
    return (await this.options.othersServing(model, order.version)) >= WELL_SERVED;
  }

  /**
   * Takes the model out of service first where somebody else serves it, so that no request meets the change.
   * Where nobody does, the engine replaces the weights in place and serves the old ones until it has the new;
   * a model that the document still has is never unloaded then.
   */
  private async carryOut(step: Step, lease: Turn, signal: AbortSignal): Promise<boolean> {
    const { withdraw, restore } = this.options;
    if (step.takesAway === undefined) return this.order(step, lease, signal);
    const covered = await this.covered(step.model, step.takesAway);
    if (!covered && step.order.type === 'unload-model') return false;
    if (!covered) return this.order(step, lease, signal);
    try {
      await withdraw(step.model, signal);
      return await this.order(step, lease, signal);
    } finally {
      restore(step.model);
    }
  }

  private async covered(model: string, { loaded, wanted }: NonNullable<Step['takesAway']>): Promise<boolean> {
    if (wanted === undefined) return true;
    for (const version of new Set([wanted, loaded])) {
      if ((await this.options.othersServing(model, version)) > 0) return true;
    }
    return false;
  }

  private async order(step: Step, lease: Turn, signal: AbortSignal): Promise<boolean> {
    const { engine, clock, log, metrics, look } = this.options;
    if (signal.aborted || !lease.held || engine.order === undefined) return false;
    const { order } = step;
    log.event(agentEvents.orderSent, { order, fence: String(lease.fence) });
    const bound = new AbortController();
    const calledOff = clock.after(ORDER_TIMEOUT_MS, () => {
      bound.abort(new Error('the order took too long'));
    });
    const result = await engine.order(order, lease.fence, AbortSignal.any([signal, bound.signal]));
    calledOff();
    // What the engine has now is read, not concluded: an order whose answer was lost may have been done.
    await look();
    metrics.count(agentMetrics.orders, 1, { type: order.type, outcome: result.isOk() ? 'done' : 'failed' });
    if (result.isErr()) {
      this.noteFailure(step, result.error);
      return false;
    }
    log.event(agentEvents.orderDone, { order });
    return true;
  }

  private noteFailure({ order }: Step, cause: Fault): void {
    const fenced = cause.kind === 'version-conflict';
    const kind = fenced ? agentEvents.orderFenced : agentEvents.orderFailed;
    this.options.log.event(kind, { order, message: cause.message });
  }

  private concurrentLoads(): number {
    const document = this.options.view().documents.get(this.options.service)?.document;
    return document?.kind === 'model' ? document.weights.concurrentLoads : 1;
  }

  private take(name: string, limit: number): Promise<Turn | undefined> {
    const { turns, clock, name: holder, incarnation } = this.options;
    return Turn.take(turns, clock, { name, holder, incarnation, limit });
  }

  private async pause(ms: number, wakeable: boolean, signal: AbortSignal): Promise<void> {
    if (!(wakeable && this.woken) && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          calledOff();
          signal.removeEventListener('abort', finish);
          this.wake = undefined;
          resolve();
        };
        const calledOff = this.options.clock.after(ms, finish);
        signal.addEventListener('abort', finish, { once: true });
        this.wake = wakeable ? finish : undefined;
      });
    }
    this.woken = false;
  }
}
