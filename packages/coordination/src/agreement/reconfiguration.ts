/** Membership changes: the leader moves the configuration to the desired replicas in single safe steps. */
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import { isSettled, membersOf, nextStep, voter } from './configuration.js';
import type { Joining } from './joining.js';
import type { Leadership } from './leadership.js';
import type { ReplicaAddress } from './options.js';
import type { Replica } from './replica.js';

/** Desired replicas, and the task of the leader that brings them about. */
export class Reconfiguration {
  /** Replicas that were requested; undefined for those of the configuration. */
  private desired: readonly ReplicaAddress[] | undefined;
  /** Replicas to add to those, by name. */
  private readonly added = new Map<string, ReplicaAddress>();

  constructor(
    private readonly replica: Replica,
    private readonly joining: Joining,
  ) {}

  /** Sets the desired replicas. Call it on every replica, so that a new leader continues the change. */
  setDesired(desired: readonly ReplicaAddress[]): void {
    this.desired = desired.map(({ name, address }) => ({ name, address }));
  }

  /** Requests one more replica, or a new address for a known name. Several can be pending at the same time. */
  add(added: ReplicaAddress): void {
    this.added.set(added.name, added);
    this.replica.membershipSignal.notify();
  }

  /** Cancels the request for one more replica, unless a newer one for the same name has replaced it. */
  cancelAdd(added: ReplicaAddress): void {
    if (this.added.get(added.name) === added) this.added.delete(added.name);
  }

  /** Whether a committed configuration has exactly the desired replicas as voters. */
  isDone(): boolean {
    const configuration = this.committed();
    return configuration !== undefined && isSettled(configuration, this.desired ?? []);
  }

  /** Whether a committed configuration has a voter of this name and address. */
  isVoter({ name, address }: ReplicaAddress): boolean {
    const voters = this.committed()?.voters ?? [];
    return voters.some((member) => member.name === name && member.address === address);
  }

  /**
   * Takes steps until the term ends, each as soon as it is due: until a returning replica votes again, one more loss may cost
   * the quorum.
   */
  async run(leadership: Leadership): Promise<void> {
    const { replica } = this;
    const { clock, tuning, membershipSignal } = replica;
    while (leadership.isOpen) {
      // Starts waiting before the step, so that a signal during the step is not missed.
      const change = membershipSignal.waitFor(clock, tuning.reconfigureMs);
      const hasStepped = this.canStep(leadership) && (await this.takeStep(leadership));
      if (hasStepped) await this.waitUntilCommitted(leadership);
      else await change;
    }
  }

  /** Waits until the last step is committed or the term ends. */
  private async waitUntilCommitted(leadership: Leadership): Promise<void> {
    const { replica } = this;
    while (leadership.isOpen && !this.canStep(leadership)) {
      await replica.changed.waitFor(replica.clock, replica.tuning.reconfigureMs);
    }
  }

  /**
   * Allows one change at a time, and only after an entry of this term is committed. Without the second rule, two successive
   * leaders could each add a replica to the same old configuration, and the two results would have disjoint quorums.
   */
  private canStep(leadership: Leadership): boolean {
    const { index } = this.replica.entries.configuration();
    return leadership.isActive && leadership.hasCommittedInTerm && index <= this.replica.commitIndex;
  }

  /** Takes the next step. @returns whether a configuration was appended. */
  private async takeStep(leadership: Leadership): Promise<boolean> {
    const { replica } = this;
    const current = replica.configuration;
    if (current === undefined) return false;
    const desired = this.allDesired(current);
    const found = await this.findReplicas(leadership, desired);
    // The term may have ended, or the configuration changed, while replicas were queried.
    if (!this.canStep(leadership) || replica.configuration !== current) return false;
    const next = nextStep({
      current,
      desired,
      self: replica.id,
      found,
      isCaughtUp: (id) => this.isCaughtUp(leadership, id),
      isReachable: (replicaId) => this.isAnswering(leadership, replicaId),
      isLost: (replicaId) => leadership.isSilent(replicaId),
    });
    return next !== undefined && (await leadership.changeConfiguration(next)).isOk();
  }

  private allDesired(current: Configuration): ReplicaAddress[] {
    const others = (this.desired ?? uniqueMembers(current)).filter(({ name }) => !this.added.has(name));
    return [...others, ...this.added.values()];
  }

  /** The latest configuration in the log, if it is committed. */
  private committed(): Configuration | undefined {
    const { index, configuration } = this.replica.entries.configuration();
    return index <= this.replica.commitIndex ? configuration : undefined;
  }

  private isCaughtUp(leadership: Leadership, replicaId: string): boolean {
    return this.isAnswering(leadership, replicaId) && leadership.progress.get(replicaId)?.isCaughtUp === true;
  }

  /** Whether a replica answered recently, and no other replica has answered at its address since. */
  private isAnswering(leadership: Leadership, replicaId: string): boolean {
    const isReplaced = leadership.progress.get(replicaId)?.replacementId !== undefined;
    return !isReplaced && leadership.isReachable({ replicaId }, this.replica.tuning.quorumWindowMs);
  }

  /**
   * Finds the replica at each desired address. Members that answer append requests need no extra query, unless another replica
   * has answered at their address since.
   */
  private async findReplicas(
    leadership: Leadership,
    desired: readonly ReplicaAddress[],
  ): Promise<Map<string, Voter>> {
    const answers = await Promise.all(desired.map((replica) => this.findReplica(leadership, replica)));
    const found = answers.filter((answer) => answer !== undefined);
    return new Map(found.map((member) => [member.name, member]));
  }

  private async findReplica(leadership: Leadership, desired: ReplicaAddress): Promise<Voter | undefined> {
    const { replica } = this;
    const member = [replica.self, ...replica.others].find(
      ({ name, address, replicaId }) =>
        name === desired.name && address === desired.address && this.isAnswering(leadership, replicaId),
    );
    if (member !== undefined) return member;
    const answer = await this.joining.identify(desired.address);
    const other = answer?.replica;
    if (answer === undefined || other?.name !== desired.name) return undefined;
    // A replica of another cluster has a different log, so it must not be added.
    const cluster = answer.configuration?.clusterId ?? replica.clusterId;
    if (cluster !== replica.clusterId) return undefined;
    return voter(other.name, desired.address, other.replicaId);
  }
}

/**
 * The members of a configuration, each name once. Learners are included: between the removal of a voter with a lost disk
 * and the promotion of its successor, only a learner has the name.
 */
function uniqueMembers(configuration: Configuration): ReplicaAddress[] {
  const byName = new Map(membersOf(configuration).map((member) => [member.name, member]));
  return [...byName.values()];
}
