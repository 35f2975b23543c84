/** Leader election: election timeout, pre-vote, and requesting and granting votes. */
import { create } from '@bufbuild/protobuf';
import { coordinationEvents } from '../events.js';
import { VoteRequestSchema, VoteResponseSchema } from '../gen/agreement/agreement_pb.js';
import type { VoteRequest, VoteResponse, Voter } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import { quorumOf } from './configuration.js';
import { PreVoteEndorsement } from './preVoteEndorsement.js';
import type { Candidate } from './preVoteEndorsement.js';
import type { Position } from './entryLog.js';
import type { PeerClient } from './peerClient.js';
import type { Replica } from './replica.js';

/** Result of a vote request; `replaced`: a replica with another id answered at the voter's address. */
type VoteResult = 'granted' | 'refused' | 'silent' | 'replaced';

/** Names of the other voters by result. */
type VoteTally = Record<VoteResult, string[]>;

/** Limit on how many times the range of the election timeout is doubled after lost elections. */
const MAX_TIMEOUT_DOUBLINGS = 2;

/** Runs elections for one replica: stands as a candidate and answers vote requests. */
export class Election {
  /** Tally of the last failed vote that was logged, as JSON. */
  private lastReportedTally = '';
  /** Number of elections lost in a row, and the monotonic time of the last loss. */
  private lostElections = 0;
  private lastLostAt = -Infinity;
  /** Monotonic time at which this replica last granted its vote to another one. */
  private votedAt: number | undefined;
  private readonly endorsement: PreVoteEndorsement;
  /** Whether the next campaign skips the election timeout and the pre-vote. */
  private isCampaignImmediate = false;

  constructor(
    private readonly replica: Replica,
    private readonly peers: PeerClient,
    private readonly onElected: (term: bigint) => Promise<void>,
  ) {
    this.endorsement = new PreVoteEndorsement(replica.clock, replica.tuning.electionMinMs);
  }

  /** Campaigns whenever the election timeout elapses, until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      await this.waitForElectionTimeout();
      await this.campaign();
      replica.resetElectionTimer();
    }
  }

  /**
   * Campaigns without the election timeout and the pre-vote. Used by a leader that was deposed by a higher term although a
   * quorum had just answered it: another leader is unlikely to exist, and safety does not depend on this assumption.
   */
  campaignImmediately(): void {
    this.isCampaignImmediate = true;
    this.replica.changed.notify();
  }

  /** Answers a candidate's vote or pre-vote request. */
  async vote(request: VoteRequest): Promise<VoteResponse> {
    const { replica } = this;
    return replica.exclusive(async () => {
      const granted = this.mayVote(request) && (await this.decideVote(request));
      return create(VoteResponseSchema, { term: replica.term, granted, replicaId: replica.id });
    });
  }

  /** Resolves when the election timeout has elapsed. */
  private async waitForElectionTimeout(): Promise<void> {
    const { replica } = this;
    const randomFraction = replica.random();
    while (!replica.stopped && !this.isCampaignImmediate) {
      const [minMs, maxMs] = this.electionTimeoutRange();
      const timeoutMs = minMs + randomFraction * (maxMs - minMs);
      const remainingMs = replica.electionTimerStart + timeoutMs - replica.clock.monotonic();
      if (replica.role === 'leader' || replica.role === 'suspended') await replica.changed.wait();
      else if (remainingMs > 0) await replica.changed.waitFor(replica.clock, remainingMs);
      else if (this.isAbstaining('candidacy')) await replica.changed.wait();
      else return;
    }
  }

  /**
   * Shortest and longest election timeout, milliseconds. The timeouts are staggered by rank, because several candidates at
   * once split the votes. After a lost election the timeout is random instead, in a range that doubles with each loss, as
   * slow answers need more time between candidates. A replica that has had no leader since its start uses a shorter timeout:
   * when all replicas were killed at once, nothing is served until there is a leader. If there is one, the other replicas
   * refuse their votes.
   */
  private electionTimeoutRange(): readonly [number, number] {
    const { tuning, lastLeaderContact } = this.replica;
    const { electionMinMs, electionMaxMs, firstElectionMs, electionSpreadMs } = tuning;
    const hasLeaderSinceLoss = lastLeaderContact !== undefined && lastLeaderContact > this.lastLostAt;
    if (this.lostElections > 0 && !hasLeaderSinceLoss) {
      const doublings = Math.min(this.lostElections, MAX_TIMEOUT_DOUBLINGS);
      return [electionMinMs, electionMinMs + (electionMaxMs - electionMinMs) * 2 ** doublings];
    }
    const isFirst = lastLeaderContact === undefined && this.votedAt === undefined;
    const firstRankMs = isFirst ? firstElectionMs : electionMinMs;
    const minMs = firstRankMs + this.delayMs(this.rank(this.replica.id));
    return [minMs, minMs + electionSpreadMs];
  }

  /** Delay by rank. A replica whose storage failed not long ago stands after the others, so that a sound one is preferred. */
  private delayMs(rank: number): number {
    const { isResting, tuning } = this.replica;
    if (!isResting) return rank * tuning.electionStepMs;
    return this.lastRank() * tuning.electionStepMs + (rank + 1) * tuning.electionSpreadMs;
  }

  /** Whether the replica takes no part in elections, because it can't save a vote. */
  private isAbstaining(from: 'candidacy' | 'vote'): boolean {
    const { storageHealth } = this.replica;
    if (storageHealth.failure === undefined) return false;
    storageHealth.reportAbstention(from);
    return true;
  }

  /** Position of a replica among the voters, leaving out the lost leader; replicas that are not voters come last. */
  private rank(id: string): number {
    const voters = this.rankedVoters();
    const position = voters.findIndex(({ replicaId }) => replicaId === id);
    return position < 0 ? voters.length : position;
  }

  private lastRank(): number {
    return Math.max(0, this.rankedVoters().length - 1);
  }

  private rankedVoters(): Voter[] {
    const { configuration, leader } = this.replica;
    return (configuration?.voters ?? []).filter(({ name }) => name !== leader);
  }

  /**
   * Runs one election, preceded by a pre-vote. Without the pre-vote, a replica that was isolated would return with a term
   * raised by its failed campaigns and depose a working leader.
   */
  private async campaign(): Promise<void> {
    const { replica, isCampaignImmediate: isImmediate } = this;
    this.isCampaignImmediate = false;
    if (replica.stopped || !replica.isVoter || this.isAbstaining('candidacy')) return;
    const startedAt = replica.clock.monotonic();
    if (!this.endorsement.support(this.candidate(replica.id, replica.entries.last))) return;
    const term = replica.term + 1n;
    if (!isImmediate && !(await this.requestVotes(term, true))) return;
    const isStarted = await replica.exclusive(() => this.startElection(term, startedAt));
    if (!isStarted) return;
    const isWon = await this.requestVotes(term, false);
    this.recordElectionResult(isWon);
    if (replica.term !== term || replica.role !== 'candidate') return;
    if (isWon) await this.onElected(term);
    else replica.becomeFollower('not elected');
  }

  private recordElectionResult(isWon: boolean): void {
    this.lostElections = isWon ? 0 : this.lostElections + 1;
    if (!isWon) this.lastLostAt = this.replica.clock.monotonic();
  }

  /**
   * Increments the term and votes for itself. Returns false when, since the campaign started, a leader has appeared, this
   * replica has granted its vote or endorsed another candidate, or the term has changed. The pre-vote was for `term`; a
   * campaign in a later term would depose a leader elected in `term`.
   */
  private async startElection(term: bigint, campaignStartedAt: number): Promise<boolean> {
    const { replica } = this;
    if (replica.role !== 'follower' || this.followsLeader()) return false;
    if (this.votedAt !== undefined && this.votedAt >= campaignStartedAt) return false;
    if (replica.term + 1n !== term) return false;
    if (!this.endorsement.wasOf(replica.id)) return false;
    replica.log.event(coordinationEvents.electionStarted, { term: term.toString() });
    replica.metrics.count(coordinationMetrics.elections);
    const saved = await replica.saveState({ term, votedFor: replica.id });
    if (saved.isErr()) return false;
    replica.role = 'candidate';
    replica.leader = undefined;
    return true;
  }

  /** Requests votes from all other voters; resolves true at a quorum of votes, false once a quorum is out of reach. */
  private requestVotes(term: bigint, isPreVote: boolean): Promise<boolean> {
    const { replica } = this;
    const voters = replica.configuration?.voters ?? [];
    const others = voters.filter((voter) => voter.replicaId !== replica.id);
    const needed = quorumOf(voters.length) - 1;
    if (needed <= 0) return Promise.resolve(true);
    return new Promise((resolve, reject) => {
      const tally: VoteTally = { granted: [], refused: [], silent: [], replaced: [] };
      const requests = others.map(async (voter) => {
        const result = await this.requestVote(voter, term, isPreVote);
        tally[result].push(voter.name);
        const outstanding = others.length - Object.values(tally).flat().length;
        if (tally.granted.length >= needed) resolve(true);
        else if (tally.granted.length + outstanding < needed) resolve(false);
      });
      Promise.all(requests).then(() => {
        if (tally.granted.length < needed) this.reportTooFewVotes(tally, voters.length);
      }, reject);
    });
  }

  /** Logs a failed vote only when the tally changes, as without a quorum votes are requested several times a second. */
  private reportTooFewVotes(tally: VoteTally, voters: number): void {
    const { replica } = this;
    const serialized = JSON.stringify(tally);
    if (serialized === this.lastReportedTally) return;
    this.lastReportedTally = serialized;
    replica.log.event(coordinationEvents.tooFewVotes, { ...tally, voters, needed: quorumOf(voters) });
  }

  /** Requests one vote. An answer from a replica with another id at the voter's address does not count. */
  private async requestVote(voter: Voter, term: bigint, isPreVote: boolean): Promise<VoteResult> {
    const { replica } = this;
    const { index: lastIndex, term: lastTerm } = replica.entries.last;
    const { clusterId, name: candidate, id: replicaId } = replica;
    const request = { clusterId, candidate, replicaId, term, lastIndex, lastTerm, probe: isPreVote };
    const answer = await this.peers.call(voter.address, (client, signal) =>
      client.vote(create(VoteRequestSchema, request), { signal }),
    );
    if (answer.isErr()) return 'silent';
    const { granted, term: voterTerm, replicaId: voterId } = answer.value;
    if (voterId !== voter.replicaId) return 'replaced';
    if (!granted && voterTerm > replica.term)
      await replica.exclusive(() => this.observeUnlessLeading(voterTerm));
    return granted ? 'granted' : 'refused';
  }

  /**
   * A refusal may arrive after this replica was elected. It is ignored then: a leader learns of a higher term from the answers
   * to its own messages.
   */
  private async observeUnlessLeading(term: bigint): Promise<void> {
    if (this.replica.role !== 'leader') await this.replica.observeTerm(term);
  }

  /**
   * Refuses all votes while there is contact with a leader. Otherwise a removed replica that has not learned of its removal
   * would keep disrupting the cluster with vote requests.
   */
  private mayVote(request: VoteRequest): boolean {
    const { replica } = this;
    const isSameCluster = replica.clusterId !== '' && request.clusterId === replica.clusterId;
    return (
      isSameCluster && request.replicaId !== '' && (this.isFromLeader(request) || !this.hasLeaderContact())
    );
  }

  /** Whether the candidate is the leader that this replica follows; its request shows that it has stepped down. */
  private isFromLeader({ replicaId }: VoteRequest): boolean {
    const { configuration, leader, role } = this.replica;
    if (role !== 'follower') return false;
    const voters = configuration?.voters ?? [];
    return voters.some((voter) => voter.name === leader && voter.replicaId === replicaId);
  }

  /** Whether there is a leader that nobody may depose: this replica, or one that was heard of and does not yield. */
  private hasLeaderContact(): boolean {
    const { replica } = this;
    if (replica.role === 'leader') return true;
    if (replica.lastLeaderContact === undefined || replica.isLeaderYielding) return false;
    return replica.clock.monotonic() - replica.lastLeaderContact < replica.tuning.electionMinMs;
  }

  /** Whether this replica does not stand because of a leader; against one that yields, only one with a sound disk stands. */
  private followsLeader(): boolean {
    const { replica } = this;
    const { lastLeaderContact, clock, tuning } = replica;
    if (this.hasLeaderContact()) return true;
    if (lastLeaderContact === undefined || !replica.isResting) return false;
    return clock.monotonic() - lastLeaderContact < tuning.electionMinMs;
  }

  private async decideVote(request: VoteRequest): Promise<boolean> {
    const { replica } = this;
    if (this.isAbstaining('vote')) return false;
    const last = { index: request.lastIndex, term: request.lastTerm };
    const isUpToDate = replica.entries.isCoveredBy(last);
    if (request.probe) {
      const mayWin = isUpToDate && request.term > replica.term && !this.isElectingAnother(request);
      return mayWin && this.endorsement.support(this.candidate(request.replicaId, last));
    }
    if (request.term < replica.term) return false;
    const isNewTerm = request.term > replica.term;
    const isVoteAvailable = isNewTerm || ['', request.replicaId].includes(replica.votedFor);
    if (!isUpToDate || !isVoteAvailable) {
      await replica.observeTerm(request.term);
      return false;
    }
    if (!(await this.saveVote(request))) return false;
    this.votedAt = replica.clock.monotonic();
    replica.resetElectionTimer();
    return true;
  }

  /** Saves a vote, and the term with it: on a slow disk, two saves would take longer than a candidate waits. */
  private async saveVote({ term, replicaId }: VoteRequest): Promise<boolean> {
    const { replica } = this;
    if (term > replica.term) return (await replica.observeTerm(term, replicaId)).isOk();
    return replica.votedFor === replicaId || (await replica.saveState({ votedFor: replicaId })).isOk();
  }

  private candidate(replicaId: string, last: Position): Candidate {
    return { replicaId, last, rank: this.rank(replicaId) };
  }

  /** Whether another candidate is being elected, which a further candidate would depose at once. */
  private isElectingAnother({ replicaId }: VoteRequest): boolean {
    const { role, clock, tuning, votedFor } = this.replica;
    if (role === 'candidate') return true;
    if (this.votedAt === undefined || votedFor === replicaId) return false;
    return clock.monotonic() - this.votedAt < tuning.electionMinMs;
  }
}
