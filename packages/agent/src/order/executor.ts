/** The executor of wanted state: the only one that gives this target orders. */
import type { Fault, Log, Metrics } from '@jasmineroute/core';
import type { Engine, EngineModel } from '@jasmineroute/engine';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';
import { assign } from './assignment.js';
import { SettledNames } from './settled.js';
import { stepsOf } from './step.js';
import type { Situation, Step } from './step.js';
import { StepTurns } from './stepTurns.js';
import type { StepTurnsOptions } from './stepTurns.js';
import type { Turn } from './turn.js';

/** Pause when nothing is due; up to twice as long, as for the one below, so that herds spread. */
const IDLE_PAUSE_MS = 2_000;

/**
 * Pause while others have the turns. Doubled up to the limit: a rollout over hundreds of targets must not keep
 * control busy with refusals.
 */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 30_000;

/** Pause after a round that got something done. */
const SHORT_PAUSE_MS = 50;

/** Longest time of one order: loading waits for the weight store. */
const ORDER_TIMEOUT_MS = 15 * 60_000;

/** What the executor needs. */
export interface ExecutorOptions extends StepTurnsOptions {
  readonly engine: Engine;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long a change of the targets must last before it moves models, milliseconds. */
  readonly settleMs: number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** What the engine has loaded; undefined while it is not known. */
  readonly loaded: () => readonly EngineModel[] | undefined;
  /** Takes a model out of service here, and resolves when no run of it is left. */
  readonly withdraw: (model: string, signal: AbortSignal) => Promise<void>;
  /** Puts it back. */
  readonly restore: (model: string) => void;
  /** Looks at the engine now. */
  readonly look: () => Promise<void>;
}

const takesWork: ReadonlySet<string> = new Set(['alive', 'suspect']);

/** What came of a round: an order was carried out, none is due, or one is due and cannot be yet. */
type Progress = 'done' | 'idle' | 'not-now';

/** One task. It pulls the wanted state; nobody pushes orders to it, so none can be late or forged. */
export class Executor {
  private wake?: () => void;
  private woken = false;
  private readonly targets: SettledNames;
  private readonly turns: StepTurns;

  constructor(private readonly options: ExecutorOptions) {
    this.targets = new SettledNames(options.clock, options.settleMs);
    this.turns = new StepTurns(options);
  }

  /** The view or the engine has changed. */
  poke(): void {
    this.woken = true;
    this.wake?.();
  }

  /** Works until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let retryMs = MIN_RETRY_MS;
    while (!signal.aborted) {
      const progress = await this.round(signal);
      const pauses = { done: SHORT_PAUSE_MS, idle: IDLE_PAUSE_MS, 'not-now': retryMs };
      retryMs = progress === 'not-now' ? Math.min(MAX_RETRY_MS, retryMs * 2) : MIN_RETRY_MS;
      await this.pause(pauses[progress] * (1 + this.options.random()), progress !== 'not-now', signal);
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
    // Looked at before the turns are taken, too: one who cannot go must not hold up one who can.
    if (!(await this.mayGo(step))) return false;
    const turns = await this.turns.take(step);
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

  private async mayGo({ model, order, takesAway }: Step): Promise<boolean> {
    if (takesAway === undefined || order.type !== 'unload-model') return true;
    return this.covered(model, takesAway);
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
