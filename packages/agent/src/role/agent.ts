/** The agent role: gate, watches and announcement of one target, put together. */
import type { ConnectRouter } from '@connectrpc/connect';
import { runLasting } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { DirectoryClient } from '@jasmineroute/directory';
import type { Announcement, Target } from '@jasmineroute/directory';
import { engineAdapters } from '@jasmineroute/engine';
import type { Engine, EngineModel } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import { BlockIndex, loadHasher } from '@jasmineroute/routing';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import { Gate, gateCoding } from '../gate/index.js';
import type { GateTarget } from '../gate/index.js';
import type { AgentSettings } from '../setting/index.js';
import { CacheWatch, EngineWatch, targetIncarnation } from '../watch/index.js';
import { Orders } from './orders.js';

/** Concurrent requests at a plain service when nothing is set. */
const DEFAULT_PLAIN_CAPACITY = 32;

/** How long a drained agent still answers. */
const LINGER_MS = 500;

class Agent implements RoleProcess, GateTarget {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  private readonly engine: Engine;
  private readonly index: BlockIndex;
  private readonly watch: EngineWatch;
  private readonly cache: CacheWatch;
  private readonly gate: Gate;
  private readonly directory: DirectoryClient;
  private readonly orders: Orders;
  private readonly stopping = new AbortController();
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
    this.orders = new Orders({
      context,
      settings,
      engine: this.engine,
      watch: this.watch,
      directory: this.directory,
      sentFor: (model) => this.gate.sentFor(model),
      changed: () => {
        this.changed();
      },
    });
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
    return models.filter(({ model }) => !this.orders.withdrawn(model));
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
    this.keep('watch over the engine', this.watch.run(this.stopping.signal));
    await this.directory.start(() => this.announcement());
    if (this.kind === 'plain') return;
    this.keep('orders', this.orders.run());
  }

  readiness(): Readiness {
    if (this.leaves) return { ready: false, reason: 'leaving' };
    return this.ready() ? { ready: true, reason: '' } : { ready: false, reason: 'the target is not ready' };
  }

  /** New work is refused from the first moment on, whatever entries still believe. */
  async drain(): Promise<void> {
    const { log, clock } = this.context;
    this.leaves = true;
    this.orders.stop();
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
    this.orders.stop();
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
    this.keep('cache', this.cache.run(this.cacheRound.signal));
  }

  private keep(name: string, task: Promise<void>): void {
    runLasting(name, task);
    this.tasks.push(task);
  }

  private changed(): void {
    this.gate.refresh();
    this.directory.refresh();
    this.orders.poke();
  }

  private superseded(): void {
    this.context.log.event(agentEvents.superseded);
    this.leaves = true;
    this.orders.stop();
    this.context.stop?.('a newer agent serves this target');
  }
}

/** Makes an agent. */
export async function createAgent(
  context: RoleContext,
  settings: AgentSettings,
): Promise<Result<RoleProcess, Fault>> {
  await loadHasher();
  return ok(new Agent(context, settings));
}
