/** Reconciles the models that the engine has loaded with the document. The only source of orders to this target. */
import type { Fault, Log, Metrics } from '@jasmineroute/core';
import type { Engine, EngineModel } from '@jasmineroute/engine';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';
import { assign } from './assignment.js';
import { SettledNames } from './settledNames.js';
import { stepsOf } from './step.js';
import type { ReconcileInput, Step } from './step.js';
import { StepTurns } from './stepTurns.js';
import type { StepTurnsOptions } from './stepTurns.js';
import type { Turn } from './turn.js';

/** Pause when no step is due. Jitter up to doubles every pause, so that targets do not all act at once. */
const IDLE_PAUSE_MS = 2_000;

/**
 * Backoff while other targets hold the turns. Without it, a rollout over hundreds of targets would keep the
 * control instances busy refusing requests.
 */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 30_000;

/** Pause after a round that executed a step. */
const PROGRESS_PAUSE_MS = 50;

/** Timeout of one order; loading includes the transfer from the weight store. */
const ORDER_TIMEOUT_MS = 15 * 60_000;

/** Dependencies and settings of an executor. */
export interface ExecutorOptions extends StepTurnsOptions {
  readonly engine: Engine;
  readonly log: Log;
  readonly metrics: Metrics;
  /** How long the list of targets must stay unchanged before models are reassigned, milliseconds. */
  readonly settleMs: number;
  /** A random number from 0 to 1, for jitter. */
  readonly random: () => number;
  /** Models that the engine has loaded; undefined while unknown. */
  readonly loadedModels: () => readonly EngineModel[] | undefined;
  /** Stops accepting new runs for a model on this target; resolves when its in-flight runs have ended. */
  readonly withdraw: (model: string, signal: AbortSignal) => Promise<void>;
  /** Accepts new runs for the model again. */
  readonly restore: (model: string) => void;
  /** Reads the state of the engine now. */
  readonly refreshState: () => Promise<void>;
}

const servingHealth: ReadonlySet<string> = new Set(['alive', 'suspect']);

/** Result of a round: a step was executed, none is due, or those that are due cannot run yet. */
type Progress = 'done' | 'idle' | 'not-now';

/**
 * Derives its orders from the current view. It receives no orders from other processes, so it cannot act on a delayed
 * or forged one.
 */
export class Executor {
  private wake?: () => void;
  private isWakeRequested = false;
  private readonly targets: SettledNames;
  private readonly turns: StepTurns;

  constructor(private readonly options: ExecutorOptions) {
    this.targets = new SettledNames(options.clock, options.settleMs);
    this.turns = new StepTurns(options);
  }

  /** Starts the next round early, after a change of the view or the engine. */
  notifyChange(): void {
    this.isWakeRequested = true;
    this.wake?.();
  }

  /** Reconciles until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let retryMs = MIN_RETRY_MS;
    while (!signal.aborted) {
      const progress = await this.round(signal);
      const pauses = { done: PROGRESS_PAUSE_MS, idle: IDLE_PAUSE_MS, 'not-now': retryMs };
      retryMs = progress === 'not-now' ? Math.min(MAX_RETRY_MS, retryMs * 2) : MIN_RETRY_MS;
      await this.pause(pauses[progress] * (1 + this.options.random()), progress !== 'not-now', signal);
    }
  }

  /** Tries the due steps in order until one is executed. */
  async round(signal: AbortSignal): Promise<Progress> {
    const steps = this.dueSteps();
    for (const step of steps) {
      if (signal.aborted) break;
      if (await this.tryStep(step, signal)) return 'done';
    }
    return steps.length === 0 ? 'idle' : 'not-now';
  }

  /** Steps that are due according to the current view and engine state. */
  dueSteps(): Step[] {
    const input = this.reconcileInput();
    return input === undefined ? [] : stepsOf(input);
  }

  private reconcileInput(): ReconcileInput | undefined {
    const { name, service, view, loadedModels } = this.options;
    const { documents, instances, vouched } = view();
    const document = documents.get(service)?.document;
    const loaded = loadedModels();
    // A view that is not vouched may hold an old document, so no order is derived from it.
    if (!vouched || loaded === undefined || document?.kind !== 'model' || !document.weights.managed)
      return undefined;
    const targets = [...instances.values()]
      .filter(({ health, target }) => target?.service === service && servingHealth.has(health))
      .map((instance) => instance.name);
    const names = this.targets.update([...new Set([...targets, name])].sort());
    if (names === undefined) return undefined;
    const wanted = assign(document.models, names).get(name) ?? [];
    return { models: document.models, wanted, loaded };
  }

  /** @returns whether the step was executed. */
  private async tryStep(step: Step, signal: AbortSignal): Promise<boolean> {
    // Checked before taking turns as well: a target that cannot proceed must not block one that can.
    if (!(await this.canStart(step))) return false;
    const turns = await this.turns.take(step);
    if (turns === undefined) return false;
    try {
      // Taking the turns may have taken long: the step may no longer be due.
      if (!this.isStillDue(step)) {
        this.options.log.event(agentEvents.orderVoid, { order: step.order });
        return false;
      }
      const held = turns.all.map((turn) => turn.signal);
      return await this.execute(step, turns.targetTurn, AbortSignal.any([signal, ...held]));
    } finally {
      for (const turn of turns.all) await turn.release();
    }
  }

  private isStillDue(step: Step): boolean {
    const text = JSON.stringify(step);
    return this.dueSteps().some((due) => JSON.stringify(due) === text);
  }

  /**
   * Withdraws the model first if another target serves it, so that no request sees the change. Otherwise the
   * engine replaces the weights in place and serves the old ones until the new ones are loaded; a model that
   * the document still has is not unloaded then.
   */
  private async execute(step: Step, targetTurn: Turn, signal: AbortSignal): Promise<boolean> {
    const { withdraw, restore } = this.options;
    if (step.removedWeights === undefined) return this.sendOrder(step, targetTurn, signal);
    const isServed = await this.isServedElsewhere(step.model, step.removedWeights);
    if (!isServed && step.order.type === 'unload-model') return false;
    if (!isServed) return this.sendOrder(step, targetTurn, signal);
    try {
      await withdraw(step.model, signal);
      return await this.sendOrder(step, targetTurn, signal);
    } finally {
      restore(step.model);
    }
  }

  private async canStart({ model, order, removedWeights }: Step): Promise<boolean> {
    if (removedWeights === undefined || order.type !== 'unload-model') return true;
    return this.isServedElsewhere(model, removedWeights);
  }

  private async isServedElsewhere(
    model: string,
    { loaded, wanted }: NonNullable<Step['removedWeights']>,
  ): Promise<boolean> {
    if (wanted === undefined) return true;
    for (const version of new Set([wanted, loaded])) {
      if ((await this.options.countOthersServing(model, version)) > 0) return true;
    }
    return false;
  }

  private async sendOrder(step: Step, targetTurn: Turn, signal: AbortSignal): Promise<boolean> {
    const { engine, clock, log, metrics, refreshState } = this.options;
    if (signal.aborted || !targetTurn.held || engine.order === undefined) return false;
    const { order } = step;
    log.event(agentEvents.orderSent, { order, fence: String(targetTurn.fence) });
    const timeout = new AbortController();
    const cancelTimer = clock.after(ORDER_TIMEOUT_MS, () => {
      timeout.abort(new Error('the target did not answer the order within 15 minutes'));
    });
    const result = await engine.order(order, targetTurn.fence, AbortSignal.any([signal, timeout.signal]));
    cancelTimer();
    // The engine state is read again, not inferred: an order whose answer was lost may have been executed.
    await refreshState();
    metrics.count(agentMetrics.orders, 1, { type: order.type, outcome: result.isOk() ? 'done' : 'failed' });
    if (result.isErr()) {
      this.logFailure(step, result.error);
      return false;
    }
    log.event(agentEvents.orderDone, { order });
    return true;
  }

  private logFailure({ order }: Step, cause: Fault): void {
    const fenced = cause.kind === 'version-conflict';
    const kind = fenced ? agentEvents.orderFenced : agentEvents.orderFailed;
    this.options.log.event(kind, { order, message: cause.message });
  }

  private async pause(ms: number, isWakeable: boolean, signal: AbortSignal): Promise<void> {
    if (!(isWakeable && this.isWakeRequested) && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          cancelTimer();
          signal.removeEventListener('abort', finish);
          this.wake = undefined;
          resolve();
        };
        const cancelTimer = this.options.clock.after(ms, finish);
        signal.addEventListener('abort', finish, { once: true });
        this.wake = isWakeable ? finish : undefined;
      });
    }
    this.isWakeRequested = false;
  }
}
