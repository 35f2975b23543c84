/** Elections: when to stand, how votes are asked for and given. */
import { create } from '@bufbuild/protobuf';
import { coordinationEvents } from '../events.js';
import { VoteRequestSchema, VoteResponseSchema } from '../gen/agreement/agreement_pb.js';
import type { VoteRequest, VoteResponse, Voter } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import { quorumOf } from './configuration.js';
import { Endorsement } from './endorsement.js';
import type { Candidate } from './endorsement.js';
import type { Position } from './entryLog.js';
import type { PeerClient } from './peerClient.js';
import type { Replica } from './replica.js';

/** What a voter did that was asked; `replaced`: another replica answers in its place. */
type Vote = 'granted' | 'refused' | 'silent' | 'replaced';

/** Names of the other voters, by what they did. */
type Ballot = Record<Vote, string[]>;

/** The time in which the next candidacy is drawn doubles at most so often. */
const MAX_DOUBLINGS = 2;

/** One replica's part in elections. */
export class Election {
  /** The last vote that was lost and reported. */
  private told = '';
  /** Candidacies lost one after the other, and when the last one was lost, by the clock. */
  private lostCandidacies = 0;
  private lostAt = -Infinity;
  /** When this replica last gave its vote to another one, by the clock. */
  private votedAt: number | undefined;
  private readonly endorsement: Endorsement;
  /** Whether the next candidacy neither waits nor asks first. */
  private isUnseated = false;

  constructor(
    private readonly replica: Replica,
    private readonly peers: PeerClient,
    private readonly lead: (term: bigint) => Promise<void>,
  ) {
    this.endorsement = new Endorsement(replica.clock, replica.tuning.electionMinMs);
  }

  /** Stands for election whenever no leader was heard for a random time, until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      await this.silence();
      await this.stand();
      replica.rest();
    }
  }

  /**
   * Stands without waiting or asking first. For a leader that had a quorum a moment ago and met a higher term: that another one
   * was elected since is unlikely, and no promise depends on it.
   */
  standAtOnce(): void {
    this.isUnseated = true;
    this.replica.changed.notify();
  }

  /** Answers a candidate. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    const { replica } = this;
    return replica.exclusive(async () => {
      const granted = this.mayAnswer(request) && (await this.decide(request));
      return create(VoteResponseSchema, { term: replica.term, granted, replicaId: replica.id });
    });
  }

  /** Resolves when no leader has been heard for a random time. */
  private async silence(): Promise<void> {
    const { replica } = this;
    const part = replica.random();
    while (!replica.stopped && !this.isUnseated) {
      const [leastMs, mostMs] = this.patience();
      const patience = leastMs + part * (mostMs - leastMs);
      const left = replica.quietSince + patience - replica.clock.monotonic();
      if (replica.role === 'leader') await replica.changed.wait();
      else if (left > 0) await replica.changed.waitFor(replica.clock, left);
      else return;
    }
  }

  /**
   * Shortest and longest silence before an election. The voters stand one after the other, as several at once split the
   * votes; only after a lost candidacy they draw, and longer each time, as answers that take long need more room between
   * candidates. A replica that has heard no leader since its start waits less for the first one: when all were killed at once
   * nobody serves until there is one, and where there is one the others give no votes.
   */
  private patience(): readonly [number, number] {
    const { tuning, leaderHeardAt } = this.replica;
    const { electionMinMs, electionMaxMs, firstElectionMs, electionStepMs, electionSpreadMs } = tuning;
    const isOver = leaderHeardAt !== undefined && leaderHeardAt > this.lostAt;
    if (this.lostCandidacies > 0 && !isOver) {
      const doublings = Math.min(this.lostCandidacies, MAX_DOUBLINGS);
      return [electionMinMs, electionMinMs + (electionMaxMs - electionMinMs) * 2 ** doublings];
    }
    const isFirst = leaderHeardAt === undefined && this.votedAt === undefined;
    const leastMs = (isFirst ? firstElectionMs : electionMinMs) + this.rank(this.replica.id) * electionStepMs;
    return [leastMs, leastMs + electionSpreadMs];
  }

  /** Place of a replica among the voters without the leader that was lost; others come last. */
  private rank(id: string): number {
    const { configuration, leader } = this.replica;
    const voters = (configuration?.voters ?? []).filter(({ name }) => name !== leader);
    const at = voters.findIndex(({ replicaId }) => replicaId === id);
    return at < 0 ? voters.length : at;
  }

  /**
   * Asks first whether votes would be given: a replica that was cut off would otherwise come back with a term
   * raised by its lonely candidacies and unseat a leader that works.
   */
  private async stand(): Promise<void> {
    const { replica, isUnseated } = this;
    this.isUnseated = false;
    const isAbstaining = replica.clock.monotonic() < replica.abstainUntil;
    if (replica.stopped || !replica.isVoter || isAbstaining) return;
    const askedAt = replica.clock.monotonic();
    if (!this.endorsement.support(this.candidate(replica.id, replica.entries.last))) return;
    const term = replica.term + 1n;
    if (!isUnseated && !(await this.gather(term, true))) return;
    const isBegun = await replica.exclusive(() => this.begin(term, askedAt));
    if (!isBegun) return;
    const isWon = await this.gather(term, false);
    this.noteCandidacy(isWon);
    if (replica.term !== term || replica.role !== 'candidate') return;
    if (isWon) await this.lead(term);
    else replica.becomeFollower('not elected');
  }

  private noteCandidacy(isWon: boolean): void {
    this.lostCandidacies = isWon ? 0 : this.lostCandidacies + 1;
    if (!isWon) this.lostAt = this.replica.clock.monotonic();
  }

  /**
   * Raises the term and votes for itself. Returns false when a leader, or a candidate that has this one's vote or endorsement,
   * came first since the others were asked, or when the term moved on: they were asked about `term`, and a candidate of a
   * later one would unseat whoever is elected in it.
   */
  private async begin(term: bigint, askedAt: number): Promise<boolean> {
    const { replica } = this;
    if (replica.role !== 'follower' || this.hearsLeader()) return false;
    if (this.votedAt !== undefined && this.votedAt >= askedAt) return false;
    if (replica.term + 1n !== term) return false;
    if (!this.endorsement.wasOf(replica.id)) return false;
    replica.log.event(coordinationEvents.campaign, { term: term.toString() });
    replica.metrics.count(coordinationMetrics.elections);
    const saved = await replica.save({ term, votedFor: replica.id });
    if (saved.isErr()) return false;
    replica.role = 'candidate';
    replica.leader = undefined;
    return true;
  }

  /** Asks all voters; resolves true at a quorum of votes, false once it can't be reached. */
  private gather(term: bigint, probe: boolean): Promise<boolean> {
    const { replica } = this;
    const voters = replica.configuration?.voters ?? [];
    const others = voters.filter((voter) => voter.replicaId !== replica.id);
    const needed = quorumOf(voters.length) - 1;
    if (needed <= 0) return Promise.resolve(true);
    return new Promise((resolve, reject) => {
      const ballot: Ballot = { granted: [], refused: [], silent: [], replaced: [] };
      const asked = others.map(async (voter) => {
        const vote = await this.ask(voter, term, probe);
        ballot[vote].push(voter.name);
        const open = others.length - Object.values(ballot).flat().length;
        if (ballot.granted.length >= needed) resolve(true);
        else if (ballot.granted.length + open < needed) resolve(false);
      });
      Promise.all(asked).then(() => {
        if (ballot.granted.length < needed) this.reportLost(ballot, voters.length);
      }, reject);
    });
  }

  /** Told when it changes only: without a quorum the voters are asked again several times a second. */
  private reportLost(ballot: Ballot, voters: number): void {
    const { replica } = this;
    const told = JSON.stringify(ballot);
    if (told === this.told) return;
    this.told = told;
    replica.log.event(coordinationEvents.tooFewVotes, { ...ballot, voters, needed: quorumOf(voters) });
  }

  /** Asks one voter. A vote of another replica under the voter's name does not count. */
  private async ask(voter: Voter, term: bigint, probe: boolean): Promise<Vote> {
    const { replica } = this;
    const { index: lastIndex, term: lastTerm } = replica.entries.last;
    const { clusterId, name: candidate, id: replicaId } = replica;
    const request = { clusterId, candidate, replicaId, term, lastIndex, lastTerm, probe };
    const answer = await this.peers.call(voter.address, (client, signal) =>
      client.vote(create(VoteRequestSchema, request), { signal }),
    );
    if (answer.isErr()) return 'silent';
    const { granted, term: theirs, replicaId: answering } = answer.value;
    if (answering !== voter.replicaId) return 'replaced';
    if (!granted && theirs > replica.term) await replica.exclusive(() => this.observe(theirs));
    return granted ? 'granted' : 'refused';
  }

  /** A late refusal may find this replica elected: its term then ends with the answers to its messages, or not at all. */
  private async observe(term: bigint): Promise<void> {
    if (this.replica.role !== 'leader') await this.replica.observeTerm(term);
  }

  /**
   * A replica that hears a leader gives no votes: it knows that none is needed, and a removed replica that was
   * never told keeps asking.
   */
  private mayAnswer(request: VoteRequest): boolean {
    const { replica } = this;
    const isOurs = replica.clusterId !== '' && request.clusterId === replica.clusterId;
    return isOurs && request.replicaId !== '' && (this.isOfLeader(request) || !this.hearsLeader());
  }

  /** Whether the candidate is the leader that this replica follows, which has stepped down then. */
  private isOfLeader({ replicaId }: VoteRequest): boolean {
    const { configuration, leader, role } = this.replica;
    if (role !== 'follower') return false;
    const voters = configuration?.voters ?? [];
    return voters.some((voter) => voter.name === leader && voter.replicaId === replicaId);
  }

  private hearsLeader(): boolean {
    const { replica } = this;
    if (replica.role === 'leader') return true;
    if (replica.leaderHeardAt === undefined) return false;
    return replica.clock.monotonic() - replica.leaderHeardAt < replica.tuning.electionMinMs;
  }

  private async decide(request: VoteRequest): Promise<boolean> {
    const { replica } = this;
    const last = { index: request.lastIndex, term: request.lastTerm };
    const isUpToDate = replica.entries.isCoveredBy(last);
    if (request.probe) {
      const mayWin = isUpToDate && request.term > replica.term && !this.isElecting(request);
      return mayWin && this.endorsement.support(this.candidate(request.replicaId, last));
    }
    if (request.term < replica.term) return false;
    const moved = await replica.observeTerm(request.term);
    if (moved.isErr() || !isUpToDate) return false;
    const isFree = replica.votedFor === '' || replica.votedFor === request.replicaId;
    if (!isFree) return false;
    const saved = await replica.save({ votedFor: request.replicaId });
    if (saved.isErr()) return false;
    this.votedAt = replica.clock.monotonic();
    replica.rest();
    return true;
  }

  private candidate(replicaId: string, last: Position): Candidate {
    return { replicaId, last, rank: this.rank(replicaId) };
  }

  /** Whether another replica than the asking one is being elected: one more candidate would unseat it at once. */
  private isElecting({ replicaId }: VoteRequest): boolean {
    const { role, clock, tuning, votedFor } = this.replica;
    if (role === 'candidate') return true;
    if (this.votedAt === undefined || votedFor === replicaId) return false;
    return clock.monotonic() - this.votedAt < tuning.electionMinMs;
  }
}
