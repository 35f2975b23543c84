/** The leader's task that brings the replicas to the wanted ones, one safe step at a time. */
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import { isSettled, membersOf, nextStep, voter } from './configuration.js';
import type { Joining } from './joining.js';
import type { Leadership } from './leadership.js';
import type { ReplicaAddress } from './options.js';
import type { Replica } from './replica.js';

/** Changes of replicas. */
export class Reconfiguration {
  /** Replicas that were asked for; undefined: those that there are. */
  private wanted: readonly ReplicaAddress[] | undefined;
  /** Replicas that ask to vote beside those, by name. */
  private readonly added = new Map<string, ReplicaAddress>();

  constructor(
    private readonly replica: Replica,
    private readonly joining: Joining,
  ) {}

  /** Sets the wanted replicas. Kept on every replica, so that a new leader goes on. */
  want(wanted: readonly ReplicaAddress[]): void {
    this.wanted = wanted.map(({ name, address }) => ({ name, address }));
  }

  /** Wants one more replica, or a known name at its address. Others may be added at the same time. */
  add(added: ReplicaAddress): void {
    this.added.set(added.name, added);
    this.replica.memberNews.notify();
  }

  /** Drops the wish for one more replica, unless a newer one for the same name has come. */
  forget(added: ReplicaAddress): void {
    if (this.added.get(added.name) === added) this.added.delete(added.name);
  }

  /** Whether the wanted replicas are the voters, by a committed configuration. */
  isDone(): boolean {
    const configuration = this.committed();
    return configuration !== undefined && isSettled(configuration, this.wanted ?? []);
  }

  /** Whether a replica votes at an address, by a committed configuration. */
  isVoter({ name, address }: ReplicaAddress): boolean {
    const voters = this.committed()?.voters ?? [];
    return voters.some((member) => member.name === name && member.address === address);
  }

  /** Steps as long as the term lasts: until a replica that came back votes, one more loss may be one too many. */
  async run(leadership: Leadership): Promise<void> {
    const { replica } = this;
    const { clock, tuning, memberNews } = replica;
    while (leadership.isActive) {
      // Begun before the step, so that no news is missed that comes while replicas are asked.
      const news = memberNews.waitFor(clock, tuning.reconfigureMs);
      const hasStepped = this.mayStep(leadership) && (await this.step(leadership));
      if (hasStepped) await this.settled(leadership);
      else await news;
    }
  }

  /** Waits until the last step is committed, or the term is over. */
  private async settled(leadership: Leadership): Promise<void> {
    const { replica } = this;
    while (leadership.isActive && !this.mayStep(leadership)) {
      await replica.changed.waitFor(replica.clock, replica.tuning.reconfigureMs);
    }
  }

  /**
   * One change at a time, and only after an entry of this term is committed. Without the second rule, two
   * leaders in turn could each add their own replica to the same old set, and the two sets have quorums that
   * share nobody.
   */
  private mayStep(leadership: Leadership): boolean {
    const { index } = this.replica.entries.configuration();
    return leadership.isEstablished && index <= this.replica.commitIndex;
  }

  /** Takes the next step. @returns whether one was due. */
  private async step(leadership: Leadership): Promise<boolean> {
    const { replica } = this;
    const current = replica.configuration;
    if (current === undefined) return false;
    const wanted = this.allWanted(current);
    const found = await this.identify(leadership, wanted);
    // The term may have ended, or the configuration changed, while the replicas were asked.
    if (!this.mayStep(leadership) || replica.configuration !== current) return false;
    const next = nextStep({
      current,
      wanted,
      self: replica.id,
      found,
      isCaughtUp: (id) => this.isCaughtUp(leadership, id),
      isReachable: (replicaId) => this.answers(leadership, replicaId),
      isLost: (replicaId) => leadership.isSilent(replicaId),
    });
    return next !== undefined && (await leadership.changeConfiguration(next)).isOk();
  }

  private allWanted(current: Configuration): ReplicaAddress[] {
    const others = (this.wanted ?? namesOf(current)).filter(({ name }) => !this.added.has(name));
    return [...others, ...this.added.values()];
  }

  /** The newest configuration in the log, if it is committed. */
  private committed(): Configuration | undefined {
    const { index, configuration } = this.replica.entries.configuration();
    return index <= this.replica.commitIndex ? configuration : undefined;
  }

  private isCaughtUp(leadership: Leadership, replicaId: string): boolean {
    return this.answers(leadership, replicaId) && leadership.progress.get(replicaId)?.isCaughtUp === true;
  }

  /** Whether a replica answered lately, and no other one in its place since. */
  private answers(leadership: Leadership, replicaId: string): boolean {
    const isReplaced = leadership.progress.get(replicaId)?.strangerId !== undefined;
    return !isReplaced && leadership.isReachable({ replicaId }, this.replica.tuning.quorumWindowMs);
  }

  /**
   * Which replica listens at each wanted address. Members that answer appends are known without asking, unless another one
   * has answered in their place since.
   */
  private async identify(
    leadership: Leadership,
    wanted: readonly ReplicaAddress[],
  ): Promise<Map<string, Voter>> {
    const answers = await Promise.all(wanted.map((replica) => this.identifyOne(leadership, replica)));
    const known = answers.filter((answer) => answer !== undefined);
    return new Map(known.map((member) => [member.name, member]));
  }

  private async identifyOne(leadership: Leadership, wanted: ReplicaAddress): Promise<Voter | undefined> {
    const { replica } = this;
    const member = [replica.self, ...replica.others].find(
      ({ name, address, replicaId }) =>
        name === wanted.name && address === wanted.address && this.answers(leadership, replicaId),
    );
    if (member !== undefined) return member;
    const answer = await this.joining.ask(wanted.address);
    const other = answer?.replica;
    if (answer === undefined || other?.name !== wanted.name) return undefined;
    // A replica of another cluster must not be taken in: its log is another one's.
    const cluster = answer.configuration?.clusterId ?? replica.clusterId;
    if (cluster !== replica.clusterId) return undefined;
    return voter(other.name, wanted.address, other.replicaId);
  }
}

/**
 * The replicas that there are, each name once. Learners count: between the removal of a voter whose disk was
 * lost and the vote of its successor, the name is found among the learners only.
 */
function namesOf(configuration: Configuration): ReplicaAddress[] {
  const byName = new Map(membersOf(configuration).map((member) => [member.name, member]));
  return [...byName.values()];
}
