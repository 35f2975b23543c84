/** The relaying entry role: accepts callers' requests, forwards them to targets, and subscribes to control. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { fault, runCriticalTask } from '@jasmineroute/core';
import { CallerServer, MemoryBudget, Uploads, seedOf } from '@jasmineroute/entry';
import type { Arrival } from '@jasmineroute/entry';
import type { Readiness, RoleContext, RoleProcess } from '@jasmineroute/protocol';
import { createRandom } from '@jasmineroute/routing';
import { CallerAnswer, HELD_ANSWERS_SHARE } from './answer/index.js';
import { CopySchedule } from './cache/index.js';
import type { Dialect } from './dialect/index.js';
import { relayEvents } from './events.js';
import { Follower, ClusterView } from '@jasmineroute/knowledge';
import type { ReportSender } from '@jasmineroute/knowledge';
import { relayMetrics } from './metrics.js';
import { MovedRoutes, StartProofs, StreamOrigins } from './origin/index.js';
import { CrashWatch, Quarantine, Trials } from './quarantine/index.js';
import { copySenders } from './report/index.js';
import { TargetSelector } from './placement/index.js';
import type { RelaySettings } from './setting/index.js';
import { TargetPools, TargetMonitor, WorkReporter } from './target/index.js';
import { RequestHandler, takeHead } from './work/index.js';
import type { RelayContext } from './work/index.js';
import { StartupGrace } from './work/startupGrace.js';
import { ServiceBudgets } from './work/serviceBudgets.js';

/** Timeouts for callers until a configuration sets others. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;

/** Maximum size of a request head until a configuration sets another, bytes. */
const DEFAULT_MAX_HEADER_BYTES = 32 * 1024;

const BYTES_PER_MB = 1_048_576;

/**
 * Share of the memory of the process that holds what callers send and are not yet sent. The program itself takes half of the
 * smallest machine, and what the runtime has not collected yet comes on top of what is held.
 */
const CALLERS_SHARE = 0.0625;

/** Share of the descriptors for connections of callers. The others are for targets, control and files. */
const CONNECTIONS_SHARE = 0.75;

/** Timeout for receiving a whole request, milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Interval at which the state of removed targets is dropped, milliseconds. */
const SWEEP_INTERVAL_MS = 2_000;

/** How long a planned stop waits for new connections to cease, milliseconds. */
const CONNECTION_DRAIN_MS = 500;

/** Time before the end of a planned stop at which connections that this side has ended are closed, milliseconds. */
const END_MARGIN_MS = 100;

/** Time before the end of a planned stop at which requests that are still in progress are named, milliseconds. */
const NAMING_MARGIN_MS = 150;

/**
 * Time before the end of a planned stop at which requests without an answer get one, milliseconds: their callers would not learn
 * from a connection that is cut whether they ran.
 */
const ANSWER_MARGIN_MS = 250;

/** Maximum number of requests that are named when a planned stop ends under them. */
const MAX_NAMED_REQUESTS = 32;

/** A relaying entry. */
export class Relay implements RoleProcess {
  private readonly requestContext: RelayContext;
  private readonly server: CallerServer;
  private readonly knowledge: ClusterView;
  private readonly follower: Follower;
  private readonly reporter: WorkReporter;
  private readonly senders: readonly [ReportSender, ReportSender];
  private readonly origins: StreamOrigins;
  private readonly quarantine: Quarantine;
  private readonly stopped = new AbortController();
  private address = '';
  private draining = false;
  /** Monotonic time at which a planned stop ends. */
  private stopsAt: number | undefined;
  private readonly open = new Set<RequestHandler>();
  /** Reason of the last reported readiness. */
  private lastReason = '';

  constructor(
    private readonly context: RoleContext,
    private readonly settings: RelaySettings,
    dialect: Dialect,
  ) {
    const { name, incarnation, dataCentre, clock, stalls, log, metrics, peers, controls } = context;
    this.knowledge = new ClusterView(clock, log);
    const { knowledge } = this;
    this.follower = new Follower({ name, role: 'entry', controls, listener: knowledge, peers, clock, log });
    const followed = (): string[] => this.follower.controls();
    const reports = { controls: followed, peers, clock, log };
    this.senders = copySenders(reports);
    const { senders } = this;
    const allControls = (): readonly string[] => this.follower.allControls();
    this.origins = new StreamOrigins({ senders, allControls, peers, clock, log });
    const crashWatch = new CrashWatch({ targets: knowledge.targets, clock, stalls, log, metrics });
    const trials = new Trials({ name, incarnation, controls: allControls, peers, clock, log });
    this.quarantine = new Quarantine({ crashWatch, trials, senders, clock, log, metrics });
    const movedRoutes = new MovedRoutes(clock);
    const startProofs = new StartProofs({ controls: allControls, peers, clock, log });
    const random = createRandom(settings.seed === 0 ? seedOf(name) : settings.seed);
    const monitor = new TargetMonitor(clock);
    const allowance = { share: settings.retryShare, slack: settings.retrySlack };
    const memory = new MemoryBudget(settings.memoryMb * BYTES_PER_MB * CALLERS_SHARE);
    const uploads = new Uploads(memory, clock);
    this.requestContext = {
      dialect,
      knowledge,
      selector: new TargetSelector(monitor, dataCentre, random),
      monitor,
      pools: new TargetPools(),
      budgets: new ServiceBudgets(allowance, () => knowledge.entries()),
      copySchedule: new CopySchedule(clock, (store, part) => knowledge.isKept(store, part)),
      origins: this.origins,
      movedRoutes,
      startProofs,
      quarantine: this.quarantine,
      startupGrace: new StartupGrace(knowledge, clock),
      stopsAt: () => this.stopsAt,
      weightsLimitMs: settings.weightsLimitMs,
      uploads,
      answerBudget: memory.part(HELD_ANSWERS_SHARE),
      random,
      clock,
      stalls,
      log,
      metrics,
    };
    const { httpHost, httpPort, maxDescriptors } = settings;
    this.server = new CallerServer(
      (incoming, outgoing, turn, arrival) => this.serve(incoming, outgoing, turn, arrival),
      {
        httpHost,
        httpPort,
        maxConnections: Math.floor(maxDescriptors * CONNECTIONS_SHARE),
        maxHeaderBytes: DEFAULT_MAX_HEADER_BYTES,
        headerTimeoutMs: DEFAULT_HEADER_TIMEOUT_MS,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
        idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
      },
      uploads,
      clock,
      stalls,
      log,
      metrics,
    );
    knowledge.onLoad(({ targetId, running, waiting }) => {
      monitor.recordLoad(targetId, { running, waiting });
    });
    knowledge.targets.onUnready((id, state) => {
      this.requestContext.pools.giveBack(id, state);
    });
    knowledge.onEvidence((evidence) => {
      this.quarantine.apply(evidence);
    });
    knowledge.onWork(({ entry, targets }) => {
      monitor.backlog.recordRemote(entry, targets);
    });
    this.reporter = new WorkReporter({
      name,
      backlog: monitor.backlog,
      entries: () => knowledge.entries(),
      sender: senders[0],
      clock,
    });
    knowledge.onChange(() => {
      const table = knowledge.table();
      if (table !== undefined) movedRoutes.update(table);
      const limits = table?.configuration.limits;
      if (limits === undefined) return;
      this.server.setTimeouts(limits.idleTimeoutMs, limits.headerTimeoutMs);
      this.server.setMaxHeaderBytes(limits.maxHeaderBytes);
    });
  }

  /** Registers no RPC services: other processes send no calls to an entry. */
  routes(): void {
    return;
  }

  async start(): Promise<void> {
    this.follower.start();
    this.address = await this.server.listen();
    this.context.log.event(relayEvents.listening, { address: this.address });
    runCriticalTask('sweep of pools', this.sweep());
    runCriticalTask('work reports', this.reporter.run());
    runCriticalTask('origins of streams', this.origins.run());
    runCriticalTask('evidence on crashes', this.quarantine.run());
  }

  /** host:port that callers reach; known after `start`. */
  httpAddress(): string {
    return this.address;
  }

  /** Number of requests in progress. */
  openRequests(): number {
    return this.open.size;
  }

  /** Number of the configuration in force here; 0: none is known. */
  configurationNumber(): number {
    return this.knowledge.number();
  }

  /** Whether a start of a target was announced. */
  knowsTarget(id: string): boolean {
    return this.knowledge.targets.ids().has(id);
  }

  /** The current readiness. It is logged only when it changes, as load balancers query it continuously. */
  readiness(): Readiness {
    const now = this.currentReadiness();
    if (now.reason !== this.lastReason) this.context.log.event(relayEvents.readiness, { ...now });
    this.lastReason = now.reason;
    return now;
  }

  private currentReadiness(): Readiness {
    if (this.draining) return { ready: false, reason: 'stopping' };
    if (this.address === '') return { ready: false, reason: 'not listening yet' };
    if (!this.knowledge.confirmed()) return { ready: false, reason: 'not yet confirmed by a quorum' };
    if (this.knowledge.table() === undefined) return { ready: false, reason: 'no configuration yet' };
    return { ready: true, reason: 'serving' };
  }

  /** Replaces the control instances known from the settings. */
  reseed(controls: readonly string[]): void {
    this.follower.reseed(controls);
  }

  /**
   * Reports not ready first, keeps accepting until the load balancer has noticed, and then finishes all open
   * requests.
   */
  async drain(): Promise<void> {
    const { clock, log } = this.context;
    this.draining = true;
    this.stopsAt = clock.monotonic() + this.settings.graceMs;
    log.event(relayEvents.draining, { open: this.open.size });
    this.server.stopKeepAlive();
    const cancelNaming = clock.after(this.settings.graceMs - NAMING_MARGIN_MS, () => {
      this.logUnfinished();
    });
    const cancelAnswers = clock.after(this.settings.graceMs - ANSWER_MARGIN_MS, () => {
      for (const handler of this.open) handler.endForStop();
    });
    await clock.sleep(this.settings.drainDelayMs);
    await this.server.drain(CONNECTION_DRAIN_MS, this.stopsAt - END_MARGIN_MS);
    cancelNaming();
    cancelAnswers();
    log.event(relayEvents.drained, { open: this.open.size, ...this.server.stopRecord() });
  }

  async close(): Promise<void> {
    if (this.draining) this.logUnfinished();
    this.stopped.abort();
    this.reporter.stop();
    this.origins.stop();
    this.quarantine.stop();
    for (const sender of this.senders) sender.close();
    this.follower.stop();
    await this.server.close();
    await this.requestContext.pools.close();
  }

  /** Names requests that are still in progress when a planned stop ends. */
  private logUnfinished(): void {
    const { log } = this.context;
    const named = [...this.open].slice(0, MAX_NAMED_REQUESTS);
    for (const handler of named) log.event(relayEvents.unfinished, { ...handler.progress() });
  }

  private async serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    turn: Promise<boolean>,
    arrival: Arrival,
  ): Promise<void> {
    const { dialect, clock } = this.requestContext;
    // The time of a request that waits for its turn passes.
    const answer = new CallerAnswer(outgoing, dialect, clock, arrival);
    const head = takeHead(this.requestContext, incoming);
    try {
      if (await turn)
        await this.handle(new RequestHandler(this.requestContext, incoming, head, answer), answer);
    } finally {
      head.held?.release();
    }
  }

  private async handle(handler: RequestHandler, answer: CallerAnswer): Promise<void> {
    this.open.add(handler);
    try {
      await handler.run();
    } catch (cause) {
      const stack = cause instanceof Error ? cause.stack : undefined;
      this.context.log.event(relayEvents.unexpected, { error: String(cause), stack });
      answer.fail(fault('internal', 'unexpected error', { cause }));
    } finally {
      this.open.delete(handler);
    }
  }

  private async sweep(): Promise<void> {
    const { clock, metrics } = this.context;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const ids = this.knowledge.targets.ids();
      this.requestContext.monitor.retain(ids);
      this.requestContext.startProofs.retain(ids);
      await this.requestContext.pools.retain(ids);
      metrics.gauge(relayMetrics.open, this.open.size);
      await clock.sleep(SWEEP_INTERVAL_MS, signal).catch(() => undefined);
    }
  }
}
