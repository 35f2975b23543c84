/** The agent role: gate, watches and announcement of one target, put together. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Fault } from '@jasmineroute/core';
import { Controls, DirectoryClient, TurnClient } from '@jasmineroute/directory';
import type { Announcement, Target } from '@jasmineroute/directory';
import { engineAdapters } from '@jasmineroute/engine';
import type { Engine, EngineModel } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import { BlockIndex } from '@jasmineroute/routing';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import { Gate, gateCoding } from '../gate/index.js';
import type { GateTarget } from '../gate/index.js';
import type { AgentSettings } from '../setting/index.js';
import { Executor, othersServing } from '../order/index.js';
import { CacheWatch, EngineWatch, targetIncarnation } from '../watch/index.js';

/** Concurrent requests at a plain service when nothing is set. */
const DEFAULT_PLAIN_CAPACITY = 32;

/** How long a drained agent still answers. */
const LINGER_MS = 500;

/** Time between two looks whether a model's runs have ended. */
const DRAIN_POLL_MS = 50;

class Agent implements RoleProcess, GateTarget {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  private readonly engine: Engine;
  private readonly index: BlockIndex;
  private readonly watch: EngineWatch;
  private readonly cache: CacheWatch;
  private readonly gate: Gate;
  private readonly directory: DirectoryClient;
  private readonly executor: Executor;
  /** Models that are being taken out of service, though the engine still has them. */
  private readonly withdrawn = new Set<string>();
  private readonly stopping = new AbortController();
  /** Ends with the right to give orders. */
  private readonly ordering = new AbortController();
  private cacheRound = new AbortController();
  private leaves = false;
  private address = '';
  private tasks: Promise<void>[] = [];

  constructor(
    private readonly context: RoleContext,
    private readonly settings: AgentSettings,
  ) {
    const { clock, log, metrics } = context;
    this.service = settings.service;
    this.kind = settings.kind;
    this.engine = engineAdapters.get(settings.adapter ?? (settings.kind === 'model' ? 'http' : 'plain'))({
      baseUrl: settings.targetUrl,
      clock,
      log,
      silenceMs: settings.streamSilenceMs,
      capacity: settings.capacity === 0 ? DEFAULT_PLAIN_CAPACITY : settings.capacity,
      healthPath: settings.healthPath,
    });
    this.index = new BlockIndex({ capacity: settings.indexBlocks });
    this.watch = new EngineWatch({
      engine: this.engine,
      clock,
      log,
      intervalMs: settings.healthIntervalMs,
      timeoutMs: settings.healthTimeoutMs,
      onIncarnation: (incarnation, oldSeenAt) => {
        this.newIncarnation(incarnation, oldSeenAt);
      },
      onChange: () => {
        this.changed();
      },
    });
    const suspect = (): void => {
      this.watch.poke();
    };
    this.cache = new CacheWatch({
      engine: this.engine,
      index: this.index,
      clock,
      log,
      metrics,
      onUnknown: suspect,
    });
    this.gate = new Gate({
      target: this,
      engine: this.engine,
      index: this.index,
      incarnation: context.incarnation,
      bounds: settings,
      clock,
      log,
      metrics,
      suspect,
    });
    this.directory = this.openDirectory();
    this.executor = this.openExecutor();
  }

  incarnation(): string {
    return targetIncarnation(this.watch.status().state?.incarnation ?? '', this.context.incarnation);
  }

  ready(): boolean {
    return this.watch.status().ready;
  }

  leaving(): boolean {
    return this.leaves;
  }

  models(): readonly EngineModel[] {
    const models = this.watch.status().state?.models ?? [];
    return models.filter(({ model }) => !this.withdrawn.has(model));
  }

  capacity(): number {
    return this.settings.capacity === 0 ? (this.watch.status().state?.capacity ?? 1) : this.settings.capacity;
  }

  routes(router: ConnectRouter): void {
    const { gate } = this;
    router.service(gateMessage.Gate, gate.service(), gateCoding);
  }

  async start(address: string): Promise<void> {
    this.address = address;
    await this.watch.look(this.stopping.signal);
    this.tasks.push(this.watch.run(this.stopping.signal));
    await this.directory.start(() => this.announcement());
    if (this.kind === 'plain') return;
    this.directory.onChange(() => {
      this.executor.poke();
    });
    this.tasks.push(this.executor.run(this.ordering.signal));
  }

  readiness(): Readiness {
    if (this.leaves) return { ready: false, reason: 'leaving' };
    return this.ready() ? { ready: true, reason: '' } : { ready: false, reason: 'the target is not ready' };
  }

  /** New work is refused from the first moment on, whatever entries still believe. */
  async drain(): Promise<void> {
    const { log, clock } = this.context;
    this.leaves = true;
    this.ordering.abort(new Error('leaving'));
    log.event(agentEvents.leaving);
    await this.directory.leave();
    await this.gate.idle();
    // What was handed to a connection that breaks just now is asked for again within this time.
    await clock.sleep(LINGER_MS);
    log.event(agentEvents.drained);
  }

  async close(): Promise<void> {
    this.leaves = true;
    this.stopping.abort(new Error('stopped'));
    this.ordering.abort(new Error('stopped'));
    this.cacheRound.abort(new Error('stopped'));
    this.gate.stopAll();
    await this.directory.stop();
    await Promise.allSettled(this.tasks);
    await this.engine.close?.();
  }

  private openDirectory(): DirectoryClient {
    const { name, incarnation, controls, peers, clock, log, metrics, dataFolder } = this.context;
    return new DirectoryClient({
      name,
      incarnation,
      role: 'agent',
      controls,
      peers,
      clock,
      log,
      metrics,
      wantInstances: this.settings.kind === 'model',
      services: [this.settings.service],
      folder: dataFolder,
      onSuperseded: () => {
        this.superseded();
      },
    });
  }

  private openExecutor(): Executor {
    const { name, incarnation, controls, peers, clock, log, metrics, dataCentre } = this.context;
    const { service, engine, watch, directory } = this;
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
      settleMs: this.settings.settleMs,
      random: Math.random,
      loaded: () => (watch.status().ready ? watch.status().state?.models : undefined),
      othersServing: (model, version) => othersServing(serving, model, version),
      withdraw: (model, signal) => this.withdraw(model, signal),
      restore: (model) => {
        this.withdrawn.delete(model);
        this.changed();
      },
      look: () => watch.look(this.stopping.signal),
    });
  }

  /** The gate refuses a model at once; what runs is finished before the engine loses the weights. */
  private async withdraw(model: string, signal: AbortSignal): Promise<void> {
    this.withdrawn.add(model);
    this.changed();
    while (this.gate.sentFor(model) > 0 && !signal.aborted) {
      await this.context.clock.sleep(DRAIN_POLL_MS, signal).catch(() => undefined);
    }
  }

  private announcement(): Announcement {
    return { address: this.address, dataCentre: this.context.dataCentre, target: this.target() };
  }

  private target(): Target {
    return {
      service: this.service,
      kind: this.kind,
      engineIncarnation: this.incarnation(),
      ready: this.ready() && !this.leaves,
      models: this.models().map(({ model, version, adapters }) => ({
        model,
        version,
        adapters: adapters.map((adapter) => `${adapter.name}@${adapter.version}`),
      })),
      capacity: this.capacity(),
      role: this.watch.status().state?.role ?? '',
    };
  }

  /**
   * Before the new engine can be announced or get a request, all that was known of the old one's cache goes,
   * and so do the runs that it took down with it.
   */
  private newIncarnation(incarnation: string, oldSeenAt: number): void {
    this.index.begin(incarnation);
    this.gate.engineReplaced(incarnation, oldSeenAt);
    this.cacheRound.abort(new Error('the engine has restarted'));
    this.cacheRound = new AbortController();
    this.tasks.push(this.cache.run(this.cacheRound.signal));
  }

  private changed(): void {
    this.gate.refresh();
    this.directory.refresh();
    this.executor.poke();
  }

  private superseded(): void {
    this.context.log.event(agentEvents.superseded);
    this.leaves = true;
    this.ordering.abort(new Error('superseded'));
    this.context.stop?.('a newer agent serves this target');
  }
}

/** Makes an agent. */
export function createAgent(
  context: RoleContext,
  settings: AgentSettings,
): Promise<Result<RoleProcess, Fault>> {
  return Promise.resolve(ok(new Agent(context, settings)));
}
