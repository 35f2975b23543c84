/** The executor of an agent and the withdrawal of models from its gate. */
import { ControlClient, TurnClient } from '@jasmineroute/directory';
import type { DirectoryClient } from '@jasmineroute/directory';
import type { Engine } from '@jasmineroute/engine';
import type { RoleContext } from '@jasmineroute/protocol';
import { Executor, countOthersServing } from '../order/index.js';
import type { AgentSettings } from '../setting/index.js';
import type { EngineMonitor } from '../watch/index.js';

/** Interval of checks whether the runs of a withdrawn model have ended. */
const DRAIN_POLL_MS = 50;

/** Parts of the agent that the task uses. */
export interface OrderTaskParts {
  readonly context: RoleContext;
  readonly settings: AgentSettings;
  readonly engine: Engine;
  readonly engineMonitor: EngineMonitor;
  readonly directory: DirectoryClient;
  /** Number of runs of a model that were sent to the engine and have not ended. */
  readonly inFlightRuns: (model: string) => number;
  /** Called when the models that the gate accepts have changed. */
  readonly onModelsChanged: () => void;
}

/** Task that sends orders to one target until it is stopped. */
export class OrderTask {
  /** Models that accept no new runs although the engine still has them loaded. */
  private readonly withdrawnModels = new Set<string>();
  private readonly stopping = new AbortController();
  private readonly executor: Executor;

  constructor(private readonly parts: OrderTaskParts) {
    this.executor = this.makeExecutor();
  }

  /** Whether a model was withdrawn and accepts no new runs. */
  isWithdrawn(model: string): boolean {
    return this.withdrawnModels.has(model);
  }

  /** Sends orders until stopped. */
  async run(): Promise<void> {
    const unsubscribe = this.parts.directory.onChange(() => {
      this.notifyChange();
    });
    await this.executor.run(this.stopping.signal);
    unsubscribe();
  }

  /** Starts the next round early, after a change of the engine or the view. */
  notifyChange(): void {
    this.executor.notifyChange();
  }

  /** Stops sending orders. */
  stop(): void {
    this.stopping.abort(new Error('stopped'));
  }

  private makeExecutor(): Executor {
    const { context, settings, engine, engineMonitor, directory, onModelsChanged } = this.parts;
    const { name, incarnation, peers, clock, log, metrics, dataCentre } = context;
    const { service, settleMs } = settings;
    const { addresses: controls } = directory;
    const view = () => directory.view();
    const serving = { service, self: name, view, peers, clock };
    return new Executor({
      service,
      name,
      incarnation,
      engine,
      turns: new TurnClient(new ControlClient({ controls, peers, clock, metrics, dataCentre })),
      view,
      clock,
      log,
      metrics,
      settleMs,
      random: Math.random,
      loadedModels: () => (engineMonitor.status().ready ? engineMonitor.status().state?.models : undefined),
      countOthersServing: (model, version) => countOthersServing(serving, model, version),
      withdraw: (model, signal) => this.withdraw(model, signal),
      restore: (model) => {
        this.withdrawnModels.delete(model);
        onModelsChanged();
      },
      refreshState: () => engineMonitor.check(this.stopping.signal),
    });
  }

  /** Stops accepting runs of a model, and waits for its in-flight runs before the engine unloads the weights. */
  private async withdraw(model: string, signal: AbortSignal): Promise<void> {
    const { context, inFlightRuns, onModelsChanged } = this.parts;
    this.withdrawnModels.add(model);
    onModelsChanged();
    while (inFlightRuns(model) > 0 && !signal.aborted) {
      await context.clock.sleep(DRAIN_POLL_MS, signal).catch(() => undefined);
    }
  }
}
