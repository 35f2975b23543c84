/** A durable replicated log that drives a state machine. */
import { silentMetrics, fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { coordinationEvents } from '../events.js';
import { Agreement } from '../gen/agreement/agreement_pb.js';
import type { Configuration } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import { BoundedDisk, LogStorage, fileDisk, folderBudget } from '../storage/index.js';
import type { HeldBytes, Recovered, Snapshot } from '../storage/index.js';
import { Applier } from './applier.js';
import { membersOf } from './configuration.js';
import { Contact } from './contact.js';
import { Election } from './election.js';
import { Follower } from './follower.js';
import { Joining } from './joining.js';
import type { Report } from './joining.js';
import { Leadership } from './leadership.js';
import { tuning } from './options.js';
import type { ReplicaAddress, ReplicatedLogOptions } from './options.js';
import { PeerClient } from './peerClient.js';
import { Waiters } from './proposal.js';
import { Proposing } from './proposing.js';
import { Reconfiguration } from './reconfiguration.js';
import { QuorumRead } from './quorumRead.js';
import { Replica } from './replica.js';
import type { ReplicaReport, ReplicaState, ReplicaStatus } from './status.js';
import { requestChecks } from './requestCheck.js';
import { reportOf } from './status.js';
import { StorageRecovery } from './storageRecovery.js';

/** Interval at which a membership change is checked for completion. */
const CHANGE_POLL_MS = 50;

/** Wraps a handler so that invalid requests are rejected. */
function validated<Request, Answer>(
  isValid: (request: Request) => boolean,
  answer: (request: Request) => Promise<Answer>,
): (request: Request) => Promise<Answer> {
  return (request) => {
    if (isValid(request)) return answer(request);
    throw new ConnectError(
      'invalid request: a required field is missing or inconsistent',
      Code.InvalidArgument,
    );
  };
}

/** Index of the last entry that a folder holds; 0: none. */
const lastIndexOf = ({ entries, snapshot }: Recovered): bigint =>
  entries.at(-1)?.index ?? snapshot?.lastIndex ?? 0n;

const hasAddress = ({ name, address }: ReplicaAddress): boolean => name !== '' && address !== '';

/**
 * Time for which a status waits for another replica, milliseconds. The status of a cluster asks each instance for its own, so it
 * may wait twice, and its caller waits for 1.5 s.
 */
const STATUS_TIMEOUT_MS = 500;

/** One replica of a replicated log. */
export class ReplicatedLog {
  /** Name of the service between replicas. */
  static readonly serviceName = Agreement.typeName;
  private readonly replica: Replica;
  private readonly peers: PeerClient;
  private readonly waiters = new Waiters();
  private readonly applier: Applier;
  private readonly follower: Follower;
  private readonly election: Election;
  private readonly joining: Joining;
  private readonly reconfiguration: Reconfiguration;
  private readonly contact: Contact;
  private readonly proposing: Proposing;
  private readonly storageRecovery: StorageRecovery;
  private leadership: Leadership | undefined;
  private tasks: Promise<unknown> = Promise.resolve();
  private readonly onFailure: (error: unknown) => void;

  private constructor(options: ReplicatedLogOptions, storage: LogStorage, recovered: Recovered) {
    const { name, clock, log, metrics = silentMetrics, random = Math.random } = options;
    const replicaOptions = {
      name,
      storage,
      recovered,
      clock,
      log,
      metrics,
      random,
      tuning: tuning.parse(options),
    };
    const replica = new Replica(replicaOptions);
    const { connect, drop, received, onFailure = () => undefined } = options;
    this.onFailure = onFailure;
    const leadership = (): Leadership | undefined => this.leadership;
    this.replica = replica;
    const { rpcTimeoutMs, slowRpcTimeoutMs } = replica.tuning;
    const timeoutBounds = { leastMs: rpcTimeoutMs, mostMs: slowRpcTimeoutMs };
    this.peers = new PeerClient({ connect, drop, received, clock, log, metrics, timeoutBounds });
    this.applier = new Applier(replica, options.stateMachine, this.waiters);
    const restore = (snapshot: Snapshot): void => {
      this.applier.restore(snapshot);
    };
    this.follower = new Follower(replica, restore);
    this.storageRecovery = new StorageRecovery(replica, restore, this.waiters);
    this.election = new Election(replica, this.peers, (term) => this.becomeLeader(term));
    this.joining = new Joining(replica, this.peers, options.initialReplicas, () => this.report());
    this.reconfiguration = new Reconfiguration(replica, this.joining);
    this.contact = new Contact(replica, this.applier, this.follower, leadership);
    const query = (command: Uint8Array, index: () => bigint, timeoutMs: number) =>
      this.applier.query(command, index, timeoutMs);
    const { peers, joining } = this;
    const quorumRead = new QuorumRead(replica, joining);
    this.proposing = new Proposing({ replica, peers, joining, leadership, quorumRead, query });
    if (recovered.snapshot !== undefined) this.applier.restore(recovered.snapshot);
  }

  /** Opens the folder and restores the state machine. Errors: storage-failed. */
  static async open(options: ReplicatedLogOptions): Promise<Result<ReplicatedLog, Fault>> {
    const settings = tuning.parse(options);
    const { disk: given = fileDisk, clock, log, metrics = silentMetrics, onStartWait } = options;
    const { storageHangMs: limitMs } = settings;
    const disk = new BoundedDisk({ disk: given, clock, log, metrics, limitMs, onStartWait });
    const opened = await LogStorage.open(disk, options.folder, folderBudget(settings));
    if (opened.isErr()) return err(opened.error);
    disk.bound();
    const { storage, recovered } = opened.value;
    const { repairedBytes, state } = recovered;
    if (repairedBytes > 0) options.log.event(coordinationEvents.repairedTail, { bytes: repairedBytes });
    options.log.event(coordinationEvents.opened, {
      replica: state.replicaId,
      term: state.term.toString(),
      // What was acknowledged and is not among these entries is gone from this disk.
      lastIndex: lastIndexOf(recovered).toString(),
      syncedIndex: recovered.syncedIndex.toString(),
    });
    return ok(new ReplicatedLog(options, storage, recovered));
  }

  /** Adds the service between replicas to the process's server. */
  routes(router: ConnectRouter): void {
    router.service(Agreement, {
      vote: validated(requestChecks.vote, (request) => this.ifOpen(() => this.election.vote(request))),
      append: validated(requestChecks.append, (request) => this.ifOpen(() => this.follower.append(request))),
      install: validated(requestChecks.install, (request) =>
        this.ifOpen(() => this.follower.install(request)),
      ),
      join: validated(requestChecks.join, (request) => this.ifOpen(() => this.joining.answer(request))),
      propose: validated(requestChecks.propose, (request) => this.proposing.answer(request)),
    });
  }

  /** Starts the replica's tasks. `address` is where the others reach it, host:port. */
  start(address: string): Promise<void> {
    this.replica.address = address;
    this.tasks = Promise.all([
      this.supervise(this.applier.run()),
      this.supervise(this.joining.run()),
      this.supervise(this.election.run()),
      this.supervise(this.contact.run()),
      this.supervise(this.storageRecovery.run()),
    ]);
    void this.supervise(this.proposing.probeLeader());
    return Promise.resolve();
  }

  /**
   * Proposes a command, on any replica, and waits until it is applied on the leader. Errors: not-leader, no-quorum,
   * storage-failed, stopping; `ran` is not-run only when the command has certainly not run.
   */
  propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>> {
    return this.proposing.propose(command, timeoutMs);
  }

  /**
   * Runs a read-only command on the leader, from any replica. The read is linearizable: the answer reflects every command that
   * was committed before the call. Errors: not-leader, no-quorum, stopping.
   */
  query(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>> {
    return this.proposing.query(command, timeoutMs);
  }

  /** Bytes that the folder holds now, and the most so far. */
  heldBytes(): HeldBytes {
    return this.replica.storage.heldBytes();
  }

  /** Current status of this replica. */
  status(): ReplicaStatus {
    const { replica } = this;
    return {
      name: replica.name,
      replicaId: replica.id,
      state: this.state(),
      term: replica.term,
      commitIndex: replica.commitIndex,
      lastApplied: this.applier.lastApplied,
      leader: replica.leader,
      vouched: this.contact.vouched,
      storageFailure: replica.storageHealth.failure?.message,
      configuration: replica.configuration,
    };
  }

  /** Calls the listener when role, term, leader, configuration or `vouched` changes. Returns the unsubscribe function. */
  onStatus(listener: (status: ReplicaStatus) => void): () => void {
    const notify = (): void => {
      listener(this.status());
    };
    this.contact.listeners.add(notify);
    return () => this.contact.listeners.delete(notify);
  }

  /** Calls the listener with each applied index, including that of a restored snapshot. Returns the unsubscribe function. */
  onApplied(listener: (index: bigint) => void): () => void {
    this.applier.listeners.add(listener);
    return () => this.applier.listeners.delete(listener);
  }

  /**
   * Makes the desired replicas the voters, in single steps; a new one catches up as a learner before it votes. Call it on all
   * replicas, also after a restart; the leader makes the change. Resolves when the change is committed. Errors: not-leader on
   * the other replicas, no-quorum on timeout, after which the leader still continues the change.
   */
  async changeReplicas(desired: readonly ReplicaAddress[]): Promise<Result<void, Fault>> {
    if (desired.length === 0)
      return err(fault('invalid-request', 'a change of replicas needs at least one replica'));
    if (!desired.every(hasAddress))
      return err(fault('invalid-request', 'a replica needs a name and an address'));
    this.reconfiguration.setDesired(desired);
    return this.waitForChange(() => this.reconfiguration.isDone());
  }

  /** Voters and learners of the newest configuration in the log. */
  members(): readonly ReplicaAddress[] {
    return membersOf(this.replica.configuration).map(({ name, address }) => ({ name, address }));
  }

  /** Voters of the newest configuration in the log. */
  voters(): readonly ReplicaAddress[] {
    return (this.replica.configuration?.voters ?? []).map(({ name, address }) => ({ name, address }));
  }

  /**
   * Adds a voter; for a known name with an empty disk, replaces the old voter. Works on the leader only. The request is dropped
   * when the call ends; otherwise a former leader that is elected again could add an instance that no longer exists.
   */
  async enlist(added: ReplicaAddress): Promise<Result<void, Fault>> {
    if (!hasAddress(added)) return err(fault('invalid-request', 'a replica needs a name and an address'));
    this.reconfiguration.add(added);
    const changed = await this.waitForChange(() => this.reconfiguration.isVoter(added));
    this.reconfiguration.cancelAdd(added);
    return changed;
  }

  /** Queries the status of all replicas; those without an answer are marked unreachable. */
  async replicas(): Promise<ReplicaReport[]> {
    const { replica } = this;
    const members = membersOf(replica.configuration);
    return Promise.all(
      members.map(async (member) => {
        const answer =
          member.replicaId === replica.id
            ? { replica: replica.self, ...this.report() }
            : await this.joining.identify(member.address, undefined, { timeoutMs: STATUS_TIMEOUT_MS });
        const isVoter = replica.configuration?.voters.includes(member) ?? false;
        return reportOf(member, isVoter, answer);
      }),
    );
  }

  /** Stops the replica immediately: steps down, closes the files and releases the lock of the folder. */
  async close(): Promise<void> {
    this.replica.stop();
    this.waiters.close();
    await this.tasks;
    await this.replica.exclusive(() => this.replica.storage.close());
  }

  /** Rejects calls to a closed replica, whose folder another process may already have opened. */
  private ifOpen<T>(action: () => Promise<T>): Promise<T> {
    if (this.replica.stopped) throw new ConnectError('the replica was closed', Code.Unavailable);
    return action();
  }

  /** Waits until the leader's task has completed a membership change. */
  private async waitForChange(isDone: () => boolean): Promise<Result<void, Fault>> {
    const { replica } = this;
    const deadline = replica.clock.monotonic() + replica.tuning.changeTimeoutMs;
    while (!isDone()) {
      if (replica.role !== 'leader')
        return err(fault('not-leader', `not the leader; the leader is ${replica.leader ?? 'unknown'}`));
      if (replica.clock.monotonic() >= deadline)
        return err(fault('no-quorum', 'the change of replicas is not complete yet'));
      await replica.changed.waitFor(replica.clock, CHANGE_POLL_MS);
    }
    return ok();
  }

  private state(): ReplicaState {
    const { replica } = this;
    const configuration: Configuration | undefined = replica.configuration;
    if (configuration === undefined) return 'joining';
    const isLearner = configuration.learners.some(({ replicaId }) => replicaId === replica.id);
    if (isLearner) return 'learner';
    if (!replica.isVoter && replica.role !== 'leader') return 'removed';
    return replica.role === 'suspended' ? 'follower' : replica.role;
  }

  private report(): Report {
    const { term, commitIndex, lastApplied, vouched, state, storageFailure = '' } = this.status();
    return { term, commitIndex, lastApplied, vouched, state, storageFailure };
  }

  /** Becomes leader of a term after winning its election, unless the term has ended since. */
  private async becomeLeader(term: bigint): Promise<void> {
    const { replica, peers, waiters } = this;
    const snapshot = () => this.applier.snapshot();
    const onDeposed = (): void => {
      this.election.campaignImmediately();
    };
    const startTask = (task: Promise<void>): void => {
      void this.supervise(task);
    };
    const leadership = new Leadership({ replica, peers, waiters, snapshot, onDeposed, startTask }, term);
    const isLeader = await replica.exclusive(() => {
      if (replica.role !== 'candidate' || replica.term !== term) return Promise.resolve(false);
      replica.role = 'leader';
      replica.leader = replica.name;
      this.leadership = leadership;
      return Promise.resolve(true);
    });
    if (!isLeader) return;
    replica.changed.notify();
    void this.supervise(leadership.run());
    void this.supervise(this.reconfiguration.run(leadership));
  }

  /** Logs an unexpected error of a task and stops the replica, which must not continue without the task. */
  private async supervise(running: Promise<void>): Promise<void> {
    try {
      await running;
    } catch (error) {
      const { log, metrics } = this.replica;
      const stack = error instanceof Error ? error.stack : undefined;
      log.event(coordinationEvents.taskFailed, { error: String(error), stack });
      metrics.count(coordinationMetrics.failures);
      this.replica.stop();
      this.waiters.close();
      this.onFailure(error);
    }
  }
}
