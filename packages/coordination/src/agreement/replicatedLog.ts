/** A durable log that replicas agree on, driving a state machine. */
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
import { LogStorage, fileDisk } from '../storage/index.js';
import type { Recovered } from '../storage/index.js';
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
import { Replica } from './replica.js';
import type { ReplicaReport, ReplicaState, ReplicaStatus } from './status.js';
import { requestChecks } from './requestCheck.js';
import { reportOf } from './status.js';

/** Pause between looks at a change of replicas. */
const LOOK_MS = 50;

/** Refuses requests that can't be acted on. */
function checked<Request, Answer>(
  isUsable: (request: Request) => boolean,
  answer: (request: Request) => Promise<Answer>,
): (request: Request) => Promise<Answer> {
  return (request) => {
    if (isUsable(request)) return answer(request);
    throw new ConnectError('the request lacks what it can not do without', Code.InvalidArgument);
  };
}

const isReachable = ({ name, address }: ReplicaAddress): boolean => name !== '' && address !== '';

/** One replica of a replicated log. */
export class ReplicatedLog {
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
  private leadership: Leadership | undefined;
  private tasks: Promise<unknown> = Promise.resolve();
  private readonly onFailure: (error: unknown) => void;

  private constructor(options: ReplicatedLogOptions, storage: LogStorage, recovered: Recovered) {
    const { name, clock, log, metrics = silentMetrics, random = Math.random } = options;
    const parts = { name, storage, recovered, clock, log, metrics, random, tuning: tuning.parse(options) };
    const replica = new Replica(parts);
    const { connect, drop, onFailure = () => undefined } = options;
    this.onFailure = onFailure;
    const leadership = (): Leadership | undefined => this.leadership;
    this.replica = replica;
    const { rpcTimeoutMs, slowRpcTimeoutMs } = replica.tuning;
    const waits = { leastMs: rpcTimeoutMs, mostMs: slowRpcTimeoutMs };
    this.peers = new PeerClient({ connect, drop, clock, log, metrics, waits });
    this.applier = new Applier(replica, options.stateMachine, this.waiters);
    this.follower = new Follower(replica, (snapshot) => {
      this.applier.restore(snapshot);
    });
    this.election = new Election(replica, this.peers, (term) => this.lead(term));
    this.joining = new Joining(replica, this.peers, options.initialReplicas, () => this.report());
    this.reconfiguration = new Reconfiguration(replica, this.joining);
    this.contact = new Contact(replica, this.applier, this.follower, leadership);
    const query = (command: Uint8Array, index: bigint, timeoutMs: number) =>
      this.applier.query(command, index, timeoutMs);
    this.proposing = new Proposing({ replica, peers: this.peers, joining: this.joining, leadership, query });
    if (recovered.snapshot !== undefined) this.applier.restore(recovered.snapshot);
  }

  /** Opens the folder and restores the state machine. Errors: storage-failed. */
  static async open(options: ReplicatedLogOptions): Promise<Result<ReplicatedLog, Fault>> {
    const opened = await LogStorage.open(options.disk ?? fileDisk, options.folder);
    if (opened.isErr()) return err(opened.error);
    const { storage, recovered } = opened.value;
    const { repairedBytes, state } = recovered;
    if (repairedBytes > 0) options.log.event(coordinationEvents.repairedTail, { bytes: repairedBytes });
    options.log.event(coordinationEvents.opened, { replica: state.replicaId, term: state.term.toString() });
    return ok(new ReplicatedLog(options, storage, recovered));
  }

  /** Adds the service between replicas to the process's server. */
  routes(router: ConnectRouter): void {
    router.service(Agreement, {
      vote: checked(requestChecks.vote, (request) => this.serve(() => this.election.vote(request))),
      append: checked(requestChecks.append, (request) => this.serve(() => this.follower.append(request))),
      install: checked(requestChecks.install, (request) => this.serve(() => this.follower.install(request))),
      join: checked(requestChecks.join, (request) => this.serve(() => this.joining.answer(request))),
      propose: checked(requestChecks.propose, (request) => this.proposing.answer(request)),
    });
  }

  /** Starts the replica's tasks. `address` is where the others reach it, host:port. */
  start(address: string): Promise<void> {
    this.replica.address = address;
    this.tasks = Promise.all([
      this.task(this.applier.run()),
      this.task(this.joining.run()),
      this.task(this.election.run()),
      this.task(this.contact.run()),
    ]);
    void this.task(this.proposing.watchLeader());
    return Promise.resolve();
  }

  /**
   * Puts a command into the log, from any replica, and waits until it is applied at the leader.
   * Errors: not-leader, no-quorum, storage-failed, stopping; `ran` is not-run only when that is proved.
   */
  propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>> {
    return this.proposing.propose(command, timeoutMs);
  }

  /**
   * Has the leader answer a command that changes nothing, from any replica: all that was accepted before the call shows in the
   * answer. Errors: not-leader, no-quorum, stopping.
   */
  query(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>> {
    return this.proposing.query(command, timeoutMs);
  }

  /** What this replica knows of itself. */
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
      configuration: replica.configuration,
    };
  }

  /** Calls the listener when role, term, leader, configuration or `vouched` changed. Returns the way to call it off. */
  onStatus(listener: (status: ReplicaStatus) => void): () => void {
    const tell = (): void => {
      listener(this.status());
    };
    this.contact.listeners.add(tell);
    return () => this.contact.listeners.delete(tell);
  }

  /** Calls the listener with each applied index, also that of a restored snapshot. */
  onApplied(listener: (index: bigint) => void): () => void {
    this.applier.listeners.add(listener);
    return () => this.applier.listeners.delete(listener);
  }

  /**
   * Makes the wanted replicas the voters, in single steps: a new one learns everything before it votes.
   * Call it on all replicas, also after a restart; the leader acts. Resolves when it is done; with an error
   * not-leader here, or no-quorum when it takes too long: the leader goes on all the same.
   */
  async changeReplicas(wanted: readonly ReplicaAddress[]): Promise<Result<void, Fault>> {
    if (wanted.length === 0) return err(fault('invalid-request', 'at least one replica must remain'));
    if (!wanted.every(isReachable))
      return err(fault('invalid-request', 'a replica has a name and an address'));
    this.reconfiguration.want(wanted);
    return this.changed(() => this.reconfiguration.isDone());
  }

  /** Voters and learners of the newest configuration in the log. */
  members(): readonly ReplicaAddress[] {
    return membersOf(this.replica.configuration).map(({ name, address }) => ({ name, address }));
  }

  /**
   * Adds a voter to those there are; a known name with an empty disk is replaced all the same. Acts on the leader
   * only. The wish is forgotten at the end: a replica that led before and still had it would otherwise take in again,
   * once it leads, an instance that is gone.
   */
  async enlist(added: ReplicaAddress): Promise<Result<void, Fault>> {
    if (!isReachable(added)) return err(fault('invalid-request', 'a replica has a name and an address'));
    this.reconfiguration.add(added);
    const changed = await this.changed(() => this.reconfiguration.isVoter(added));
    this.reconfiguration.forget(added);
    return changed;
  }

  /** Asks all replicas for their status; those without an answer are marked unreachable. */
  async replicas(): Promise<ReplicaReport[]> {
    const { replica } = this;
    const members = membersOf(replica.configuration);
    return Promise.all(
      members.map(async (member) => {
        const answer =
          member.replicaId === replica.id
            ? { replica: replica.self, ...this.report() }
            : await this.joining.ask(member.address);
        const isVoter = replica.configuration?.voters.includes(member) ?? false;
        return reportOf(member, isVoter, answer);
      }),
    );
  }

  /** Stops at once: gives up leading, closes the files and the folder's lock. */
  async close(): Promise<void> {
    this.replica.stop();
    this.waiters.close();
    await this.tasks;
    await this.replica.exclusive(() => this.replica.storage.close());
  }

  /** A closed replica's folder may be in other hands already. */
  private serve<T>(action: () => Promise<T>): Promise<T> {
    if (this.replica.stopped) throw new ConnectError('the replica is closed', Code.Unavailable);
    return action();
  }

  /** Waits for the leader's task to bring a change of replicas about. */
  private async changed(isDone: () => boolean): Promise<Result<void, Fault>> {
    const { replica } = this;
    const end = replica.clock.monotonic() + replica.tuning.changeTimeoutMs;
    while (!isDone()) {
      if (replica.role !== 'leader') return err(fault('not-leader', `${replica.leader ?? 'nobody'} leads`));
      if (replica.clock.monotonic() >= end) return err(fault('no-quorum', 'the change is still going on'));
      await replica.changed.waitFor(replica.clock, LOOK_MS);
    }
    return ok();
  }

  private state(): ReplicaState {
    const { replica } = this;
    const configuration: Configuration | undefined = replica.configuration;
    if (configuration === undefined) return 'joining';
    const isLearner = configuration.learners.some(({ replicaId }) => replicaId === replica.id);
    if (isLearner) return 'learner';
    return replica.isVoter || replica.role === 'leader' ? replica.role : 'removed';
  }

  private report(): Report {
    const { term, commitIndex, lastApplied, vouched, state } = this.status();
    return { term, commitIndex, lastApplied, vouched, state };
  }

  /** Takes the lead of a term that was won, unless it is over by now. */
  private async lead(term: bigint): Promise<void> {
    const { replica, peers, waiters } = this;
    const snapshot = () => this.applier.snapshot();
    const unseated = (): void => {
      this.election.standAtOnce();
    };
    const start = (task: Promise<void>): void => {
      void this.task(task);
    };
    const leadership = new Leadership({ replica, peers, waiters, snapshot, unseated, start }, term);
    const isLeader = await replica.exclusive(() => {
      if (replica.role !== 'candidate' || replica.term !== term) return Promise.resolve(false);
      replica.role = 'leader';
      replica.leader = replica.name;
      this.leadership = leadership;
      return Promise.resolve(true);
    });
    if (!isLeader) return;
    replica.changed.notify();
    void this.task(leadership.run());
    void this.task(this.reconfiguration.run(leadership));
  }

  /** A task that throws has met a bug: it is logged, and the replica stops rather than go on without it. */
  private async task(running: Promise<void>): Promise<void> {
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
