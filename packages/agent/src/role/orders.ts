/** The executor, wired to the parts of an agent. */
import { Controls, TurnClient } from '@jasmineroute/directory';
import type { DirectoryClient } from '@jasmineroute/directory';
import type { Engine } from '@jasmineroute/engine';
import type { RoleContext } from '@jasmineroute/protocol';
import { Executor, countOthersServing } from '../order/index.js';
import type { AgentSettings } from '../setting/index.js';
import type { EngineWatch } from '../watch/index.js';

/** Time between two looks whether a model's runs have ended. */
const DRAIN_POLL_MS = 50;

/** The parts of the agent. */
export interface OrdersParts {
  readonly context: RoleContext;
  readonly settings: AgentSettings;
  readonly engine: Engine;
  readonly watch: EngineWatch;
  readonly directory: DirectoryClient;
  /** Runs that the engine may be at work on, for a model. */
  readonly sentFor: (model: string) => number;
  /** What the gate takes has changed. */
  readonly changed: () => void;
}

/** Orders to one target, from start to stop. */
export class Orders {
  /** Models that are being taken out of service, though the engine still has them. */
  private readonly out = new Set<string>();
  private readonly stopping = new AbortController();
  private readonly executor: Executor;

  constructor(private readonly parts: OrdersParts) {
    this.executor = this.makeExecutor();
  }

  /** Whether a model takes no new work here. */
  withdrawn(model: string): boolean {
    return this.out.has(model);
  }

  /** Gives orders until stopped. */
  async run(): Promise<void> {
    const forget = this.parts.directory.onChange(() => {
      this.poke();
    });
    await this.executor.run(this.stopping.signal);
    forget();
  }

  /** The engine or the view has changed. */
  poke(): void {
    this.executor.notifyChange();
  }

  /** From now on there are no more orders. */
  stop(): void {
    this.stopping.abort(new Error('stopped'));
  }

  private makeExecutor(): Executor {
    const { context, settings, engine, watch, directory, changed } = this.parts;
    const { name, incarnation, controls, peers, clock, log, metrics, dataCentre } = context;
    const { service, settleMs } = settings;
    const { addresses } = directory;
    const view = () => directory.view();
    const serving = { service, self: name, view, peers, clock };
    return new Executor({
      service,
      name,
      incarnation,
      engine,
      turns: new TurnClient(new Controls({ controls, peers, clock, metrics, addresses, dataCentre })),
      view,
      clock,
      log,
      metrics,
      settleMs,
      random: Math.random,
      loadedModels: () => (watch.status().ready ? watch.status().state?.models : undefined),
      countOthersServing: (model, version) => countOthersServing(serving, model, version),
      withdraw: (model, signal) => this.withdraw(model, signal),
      restore: (model) => {
        this.out.delete(model);
        changed();
      },
      refreshState: () => watch.look(this.stopping.signal),
    });
  }

  /** The gate refuses a model at once; what runs is finished before the engine loses the weights. */
  private async withdraw(model: string, signal: AbortSignal): Promise<void> {
    const { context, sentFor, changed } = this.parts;
    this.out.add(model);
    changed();
    while (sentFor(model) > 0 && !signal.aborted) {
      await context.clock.sleep(DRAIN_POLL_MS, signal).catch(() => undefined);
    }
  }
}
