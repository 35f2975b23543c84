/** The agent role: connects gate, monitoring, orders and announcement of one target. */
import type { ConnectRouter } from '@connectrpc/connect';
import { runCriticalTask } from '@jasmineroute/core';
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
import { Gate, gateHandlerOptions } from '../gate/index.js';
import type { GateTarget } from '../gate/index.js';
import type { AgentSettings } from '../setting/index.js';
import { CacheSynchroniser, EngineMonitor, targetIncarnation } from '../watch/index.js';
import { OrderTask } from './orderTask.js';

/** Concurrent requests at a plain service without a configured capacity. */
const DEFAULT_PLAIN_CAPACITY = 32;

/** How long a drained agent still answers, so that readers can resume after a broken connection. */
const LINGER_MS = 500;

class Agent implements RoleProcess, GateTarget {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  private readonly engine: Engine;
  private readonly index: BlockIndex;
  private readonly engineMonitor: EngineMonitor;
  private readonly cache: CacheSynchroniser;
  private readonly gate: Gate;
  private readonly directory: DirectoryClient;
  private readonly orders: OrderTask;
  private readonly stopping = new AbortController();
  private cacheStopping = new AbortController();
  private isLeaving = false;
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
    this.engineMonitor = new EngineMonitor({
      engine: this.engine,
      clock,
      log,
      intervalMs: settings.healthIntervalMs,
      timeoutMs: settings.healthTimeoutMs,
      onIncarnation: (incarnation, oldSeenAt) => {
        this.onNewIncarnation(incarnation, oldSeenAt);
      },
      onChange: () => {
        this.onTargetChange();
      },
    });
    const requestCheck = (): void => {
      this.engineMonitor.requestCheck();
    };
    this.cache = new CacheSynchroniser({
      engine: this.engine,
      index: this.index,
      clock,
      log,
      metrics,
      onUnknownIncarnation: requestCheck,
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
      suspect: requestCheck,
    });
    this.directory = this.openDirectory();
    this.orders = new OrderTask({
      context,
      settings,
      engine: this.engine,
      engineMonitor: this.engineMonitor,
      directory: this.directory,
      inFlightRuns: (model) => this.gate.inFlightRuns(model),
      onModelsChanged: () => {
        this.onTargetChange();
      },
    });
  }

  incarnation(): string {
    return targetIncarnation(this.engineMonitor.status().state?.incarnation ?? '', this.context.incarnation);
  }

  ready(): boolean {
    return this.engineMonitor.status().ready;
  }

  leaving(): boolean {
    return this.isLeaving;
  }

  models(): readonly EngineModel[] {
    const models = this.engineMonitor.status().state?.models ?? [];
    return models.filter(({ model }) => !this.orders.isWithdrawn(model));
  }

  capacity(): number {
    return this.settings.capacity === 0
      ? (this.engineMonitor.status().state?.capacity ?? 1)
      : this.settings.capacity;
  }

  routes(router: ConnectRouter): void {
    const { gate } = this;
    router.service(gateMessage.Gate, gate.service(), gateHandlerOptions);
  }

  async start(address: string): Promise<void> {
    this.address = address;
    await this.engineMonitor.check(this.stopping.signal);
    this.startTask('engine monitor', this.engineMonitor.run(this.stopping.signal));
    await this.directory.start(() => this.announcement());
    if (this.kind === 'plain') return;
    this.startTask('orders', this.orders.run());
  }

  readiness(): Readiness {
    if (this.isLeaving) return { ready: false, reason: 'leaving' };
    return this.ready() ? { ready: true, reason: '' } : { ready: false, reason: 'the target is not ready' };
  }

  /** Refuses new runs immediately, as entries may not have received the announcement yet, and waits for the others. */
  async drain(): Promise<void> {
    const { log, clock } = this.context;
    this.isLeaving = true;
    this.orders.stop();
    log.event(agentEvents.leaving);
    await this.directory.leave();
    await this.gate.whenDrained();
    // A reader whose connection breaks now resumes within this time.
    await clock.sleep(LINGER_MS);
    log.event(agentEvents.drained);
  }

  async close(): Promise<void> {
    this.isLeaving = true;
    this.stopping.abort(new Error('stopped'));
    this.orders.stop();
    this.cacheStopping.abort(new Error('stopped'));
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
      includeInstances: this.settings.kind === 'model',
      services: [this.settings.service],
      folder: dataFolder,
      onSuperseded: () => {
        this.onSuperseded();
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
      ready: this.ready() && !this.isLeaving,
      models: this.models().map(({ model, version, adapters }) => ({
        model,
        version,
        adapters: adapters.map((adapter) => `${adapter.name}@${adapter.version}`),
      })),
      capacity: this.capacity(),
      role: this.engineMonitor.status().state?.role ?? '',
      softwareVersion: this.engineMonitor.status().state?.softwareVersion ?? '',
    };
  }

  /**
   * Clears the index and stops the runs of the previous engine process, before the new one is announced or receives a
   * request.
   */
  private onNewIncarnation(incarnation: string, oldSeenAt: number): void {
    this.index.begin(incarnation);
    this.gate.engineReplaced(incarnation, oldSeenAt);
    this.cacheStopping.abort(new Error('the engine has restarted'));
    this.cacheStopping = new AbortController();
    this.startTask('cache synchroniser', this.cache.run(this.cacheStopping.signal));
  }

  private startTask(name: string, task: Promise<void>): void {
    runCriticalTask(name, task);
    this.tasks.push(task);
  }

  private onTargetChange(): void {
    this.gate.notifyCapacityChange();
    this.directory.refresh();
    this.orders.notifyChange();
  }

  private onSuperseded(): void {
    this.context.log.event(agentEvents.superseded);
    this.isLeaving = true;
    this.orders.stop();
    this.context.stop?.('a newer agent serves this target');
  }
}

/** Creates an agent for one target. */
export async function createAgent(
  context: RoleContext,
  settings: AgentSettings,
): Promise<Result<RoleProcess, Fault>> {
  await loadHasher();
  return ok(new Agent(context, settings));
}
