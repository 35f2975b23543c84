/** The control role: documents, claims and turns on the replicated log, the streams to followers, and the directory. */
import type { ConnectRouter } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { ReplicatedLog } from '@jasmineroute/coordination';
import { ProblemTally, runCriticalTask } from '@jasmineroute/core';
import { serveDirectory } from '@jasmineroute/directory';
import type { InstanceMessage, Membership } from '@jasmineroute/directory';
import { Follower } from '@jasmineroute/knowledge';
import type { RemoteOrders } from '@jasmineroute/rollout';
import { controlMessage } from '@jasmineroute/protocol';
import type {
  Readiness,
  RoleContext,
  RoleProcess,
  TargetStart,
  UnreadableEntries,
} from '@jasmineroute/protocol';
import { ClaimService } from '../claims/index.js';
import { ConfigurationService } from '../configuration/index.js';
import { DocumentService, DocumentView } from '../documents/index.js';
import { DepartureCopies, DepartureService, DepartureStore } from '../departures/index.js';
import { controlEvents } from '../events.js';
import type { FolderMonitor } from '../folder/index.js';
import { FollowService, OtherControls, Referral, requestVoterRole } from '../follow/index.js';
import { RecentReports } from '../recent/index.js';
import { DisklessLog, Proposer } from '../log/index.js';
import { OriginStore } from '../origins/index.js';
import { EvidenceStore } from '../quarantine/index.js';
import type { CommandLog } from '../log/index.js';
import { controlMetrics } from '../metrics.js';
import { ReplicaReconciler } from '../replicas/index.js';
import type { ControlSettings } from '../setting/index.js';
import { ControlDocumentSource, localStatus, clusterStatus } from '../status/index.js';
import { StoreMonitor } from '../stores/index.js';
import type { StorePort } from '../stores/index.js';
import { RelayedTargets, TargetRegistry } from '../targets/index.js';
import type { Heartbeat } from '../targets/index.js';
import { LogTimeAdvancer } from '../time/index.js';
import { TurnService } from '../turns/index.js';
import { RemoteWeightUpdater } from '../weights/index.js';
import { createMembership } from './createMembership.js';
import type { StateParts } from './createState.js';

/**
 * Limits of the proposer. With two batches in flight a command need not wait for the batch before it to commit; with more, the
 * batches of a busy instance get so small that the overhead per message outweighs the content.
 */
const PROPOSER_LIMITS = { inFlight: 2, batch: 512, batchBytes: 1024 * 1024, waitingBytes: 64 * 1024 * 1024 };

/** External systems that a control instance calls. */
export interface OutsidePorts {
  readonly stores?: StorePort;
  /** Orders to targets without a process beside them. */
  readonly orders?: RemoteOrders;
}

/** A running control instance. */
export class Control implements RoleProcess {
  private readonly proposer: Proposer;
  private readonly view: DocumentView;
  private readonly members: Membership;
  private readonly documentSource: ControlDocumentSource;
  private readonly logTimeAdvancer: LogTimeAdvancer;
  private readonly replicaReconciler: ReplicaReconciler;
  /** Elections and commits must not wait behind followers that come back all at once. */
  readonly urgentServices = [ReplicatedLog.serviceName];
  /** Numbered configurations, for operator APIs in this process. */
  readonly configurations: ConfigurationService;
  /** Announced targets, for APIs in this process that targets call. */
  readonly targets: TargetRegistry;
  private readonly loads: RecentReports<controlMessage.TargetLoad>;
  private readonly work: RecentReports<controlMessage.EntryWork>;
  private readonly relayed: RelayedTargets;
  private readonly departures: DepartureService;
  private readonly others: OtherControls;
  private follower: Follower | undefined;
  private readonly follow: FollowService;
  private weights: RemoteWeightUpdater | undefined;
  private referral: Referral | undefined;
  private readonly stores: StoreMonitor | undefined;
  private readonly unreadableCalls: ProblemTally;
  private readonly ended = new AbortController();
  private draining = false;
  /** Control instances from the settings, host:port. */
  private seeds: readonly string[];

  constructor(
    private readonly context: RoleContext,
    private readonly settings: ControlSettings,
    private readonly state: StateParts,
    private readonly commandLog: CommandLog,
    private readonly outside: OutsidePorts = {},
    private readonly origins = new OriginStore(context.clock, context.metrics),
    private readonly evidence = new EvidenceStore(context.log, context.metrics),
    store = new DepartureStore(),
    private readonly folder?: FolderMonitor,
  ) {
    const { clock, log } = context;
    this.seeds = context.controls;
    this.proposer = new Proposer(commandLog, { ...PROPOSER_LIMITS, timeoutMs: settings.proposalTimeoutMs });
    this.view = new DocumentView(state.documents, log);
    this.members = createMembership(context, commandLog, this.view, settings.replicas);
    this.documentSource = new ControlDocumentSource(state.documents, commandLog);
    this.logTimeAdvancer = new LogTimeAdvancer(state.machine, commandLog, this.proposer, clock, log);
    this.replicaReconciler = new ReplicaReconciler(this.view, commandLog, clock, log);
    this.targets = new TargetRegistry(clock, log, settings.targetHeartbeatMs, () =>
      context.stalls.earliestArrival(),
    );
    this.loads = new RecentReports(clock);
    this.work = new RecentReports(clock);
    this.relayed = new RelayedTargets(clock);
    const { targets, relayed } = this;
    const { name, peers, metrics } = context;
    const copies = new DepartureCopies({ name, commandLog, peers, clock, log });
    this.departures = new DepartureService({ targets, relayed, store, copies, log, metrics });
    const vouched = (): boolean => this.commandLog.status().vouched;
    this.others = new OtherControls({
      relayed: this.relayed,
      loads: this.loads,
      work: this.work,
      evidence,
      vouched,
      clock,
    });
    const { stores } = outside;
    if (stores !== undefined)
      this.stores = new StoreMonitor(state.configuration, stores, clock, log, metrics);
    this.follow = this.createFollow();
    this.configurations = new ConfigurationService(state.configuration, this.proposer, clock, log);
    this.unreadableCalls = new ProblemTally(log, controlEvents.unreadableCall);
    this.documentSource.onChange(() => {
      this.recordMetrics();
      // Deferred, so that it doesn't delay the log, which is applying an entry.
      setImmediate(() => {
        this.replicaReconciler.reconcile();
      });
    });
    state.machine.onError((error) => {
      log.event(controlEvents.commandFailed, { problem: String(error) });
    });
    state.machine.onHalted(() => {
      log.event(controlEvents.newerRelease);
      this.ended.abort();
      void commandLog.close();
    });
  }

  routes(router: ConnectRouter): void {
    const { clock, log, metrics } = this.context;
    const { proposer, settings, state, view } = this;
    const documents = new DocumentService({ state: state.documents, view, proposer, clock, log, metrics });
    const { name, peers } = this.context;
    const sources = { name, peers, state: state.documents, log: this.commandLog, members: this.members };
    this.commandLog.routes(router);
    this.members.routes(router);
    router.service(controlMessage.Documents, {
      apply: (request) => documents.apply(request),
      get: (request) => documents.get(request),
      history: (request) => documents.history(request),
      status: ({ local }) => (local ? localStatus(sources) : clusterStatus(sources)),
    });
    const { maxClaims, maxAnswerBytes } = settings;
    const leaderAddress = (): string => this.leaderAddress();
    const bounds = { maxClaims, maxAnswerBytes };
    const claims = new ClaimService({ proposer, clock, log, metrics, leaderAddress, ...bounds });
    router.service(controlMessage.Claims, {
      claim: (request) => claims.claim(request),
      settle: (request) => claims.settle(request),
    });
    const turns = new TurnService(proposer, metrics);
    router.service(controlMessage.Turns, {
      take: (request) => turns.take(request),
      release: (request) => turns.release(request),
    });
    const { follow } = this;
    router.service(controlMessage.Configurations, {
      follow: (request, call) => follow.follow(request, call),
      enlist: (request) => follow.enlist(request),
      observe: (request) => follow.observe(request),
      announce: (request) => follow.announce(request),
      report: (requests, call) => follow.report(requests, call),
      findOrigins: (request) => follow.findOrigins(request),
      listSoftwareVersions: (request) => follow.listSoftwareVersions(request),
      findStarts: (request) => follow.findStarts(request),
      listQuarantine: (request) => follow.listQuarantine(request),
      releaseQuarantined: (request) => follow.releaseQuarantined(request),
    });
    router.service(controlMessage.Departures, { record: (request) => this.departures.record(request) });
    serveDirectory(router, {
      documents: this.documentSource,
      instances: this.members,
      heartbeats: this.members,
      clock,
      ended: this.ended.signal,
    });
  }

  async start(address: string): Promise<void> {
    await this.commandLog.start(address);
    if (this.settings.gossip) this.members.start(() => this.ownInstance(address));
    runCriticalTask('targets', this.targets.run());
    this.stores?.start();
    if (this.commandLog instanceof DisklessLog) this.startReferral(address);
    if (this.settings.enlists) {
      runCriticalTask('voter requests', this.requestVoterRole(address));
      this.followOtherControls(address);
      if (this.outside.orders !== undefined) this.startWeightUpdater(this.outside.orders);
    }
    if (this.folder !== undefined) runCriticalTask('folder', this.folder.run());
    runCriticalTask('log time', this.logTimeAdvancer.run());
    runCriticalTask('replica reconciliation', this.replicaReconciler.run());
    this.context.log.event(controlEvents.started, { address });
  }

  readiness(): Readiness {
    if (this.draining) return { ready: false, reason: 'draining' };
    if (this.state.machine.isHalted()) return { ready: false, reason: 'older than the log: upgrade' };
    const { vouched, storageFailure } = this.commandLog.status();
    const storage = storageFailure === undefined ? '' : `, and its storage fails: ${storageFailure}`;
    if (!vouched) return { ready: false, reason: `out of touch with a quorum${storage}` };
    return { ready: true, reason: `in touch with a quorum${storage}` };
  }

  /**
   * Whether a target's call may be acknowledged. A call to an isolated instance would not reach the others, so it must fail for
   * the target to call the next instance.
   */
  private acknowledges(): boolean {
    return this.readiness().ready;
  }

  /** Applies a target's heartbeat. @returns whether it may be acknowledged. */
  async beat(heartbeat: Heartbeat): Promise<boolean> {
    return (await this.departures.beat(heartbeat)) && this.acknowledges();
  }

  /** Applies a target's leave call. @returns whether it may be acknowledged. */
  async leave(left: TargetStart): Promise<boolean> {
    return (await this.departures.leave(left)) && this.acknowledges();
  }

  /** Counts and logs calls, or parts of calls, that can't be read; `source` is the target that the caller claims to be. */
  unreadable(source: string, { problem, count }: UnreadableEntries): void {
    this.unreadableCalls.record(source, problem, count);
    this.context.metrics.count(controlMetrics.unreadableCalls, count);
  }

  /** Ends the streams of watchers, which move to other instances, and finishes the proposals in flight. */
  async drain(): Promise<void> {
    this.draining = true;
    this.context.log.event(controlEvents.draining);
    this.replicaReconciler.stop();
    this.ended.abort();
    await this.proposer.idle();
  }

  async close(): Promise<void> {
    this.logTimeAdvancer.stop();
    this.replicaReconciler.stop();
    this.targets.stop();
    this.folder?.stop();
    this.stores?.stop();
    this.follower?.stop();
    this.weights?.stop();
    this.referral?.stop();
    this.ended.abort();
    await this.members.stop();
    await this.origins.close();
    await this.evidence.close();
    await this.departures.close();
    await this.commandLog.close();
  }

  /** Replaces the control instances from the settings. */
  reseed(controls: readonly string[]): void {
    this.seeds = controls;
    this.follower?.reseed(controls);
    this.referral?.reseed(controls);
  }

  /** Address to redirect callers to, host:port, on an instance without a log; undefined: this one answers them itself. */
  referredTo(): string | undefined {
    return this.referral?.address();
  }

  /** Without a disk every call fails; a redirect spares callers the retries before they move to another instance. */
  private startReferral(own: string): void {
    const { name, peers, clock, log } = this.context;
    this.referral = new Referral({ name, controls: this.seeds, own, peers, clock, log });
    this.referral.start();
  }

  private createFollow(): FollowService {
    const { clock, log } = this.context;
    const { targets, relayed, others, loads, work, stores, origins, evidence, commandLog } = this;
    const follow = new FollowService({
      configuration: this.state.configuration,
      targets,
      relayed,
      others,
      loads,
      work,
      lostStores: () => stores?.lost() ?? [],
      kept: stores?.kept,
      origins,
      evidence,
      commandLog,
      clock,
      log,
      ended: this.ended.signal,
    });
    stores?.onChange(follow.notify);
    return follow;
  }

  /** Starts updates of weights on targets without a process beside them. */
  private startWeightUpdater(orders: RemoteOrders): void {
    const { name, incarnation, clock, log, metrics } = this.context;
    const { follow, proposer, commandLog, loads } = this;
    const parts = { name, incarnation, follow, proposer, commandLog, loads, orders, clock, log, metrics };
    this.weights = new RemoteWeightUpdater(parts);
    this.weights.start();
  }

  /** Follows all other control instances, so that followers of this one receive their reports too. */
  private followOtherControls(own: string): void {
    const { name, peers, clock, log } = this.context;
    const parts = { name, role: 'control', listener: this.others, peers, clock, log } as const;
    const wantsBulk = (): boolean => this.follow.hasEntryStreams();
    const maxFollowed = Number.POSITIVE_INFINITY;
    this.follower = new Follower({ ...parts, controls: this.seeds, maxFollowed, own, wantsBulk });
    this.follower.start();
  }

  private requestVoterRole(address: string): Promise<void> {
    const { name, peers, clock, log } = this.context;
    const { commandLog } = this;
    const known = (): readonly string[] => [
      ...new Set([...this.seeds, ...commandLog.members().map((member) => member.address)]),
    ];
    return requestVoterRole({ name, address, known, commandLog, peers, clock, log }, this.ended.signal);
  }

  private leaderAddress(): string {
    const { leader = '' } = this.commandLog.status();
    return this.members.current().get(leader)?.address ?? '';
  }

  /** The entry of this instance in the list of instances. */
  private ownInstance(address: string): InstanceMessage {
    const { name, incarnation, dataCentre } = this.context;
    const { Health, Role, InstanceSchema } = controlMessage;
    const health = this.draining ? Health.LEAVING : Health.ALIVE;
    const sequence = this.draining ? 2n : 1n;
    const revision = this.documentSource.revision();
    const role = Role.CONTROL;
    return create(InstanceSchema, {
      name,
      incarnation,
      dataCentre,
      address,
      role,
      health,
      sequence,
      revision,
    });
  }

  private recordMetrics(): void {
    const { metrics } = this.context;
    metrics.gauge(controlMetrics.revision, Number(this.documentSource.revision()));
    metrics.gauge(controlMetrics.vouched, this.documentSource.vouched() ? 1 : 0);
    metrics.gauge(controlMetrics.claimsHeld, this.state.claims.size());
  }
}
