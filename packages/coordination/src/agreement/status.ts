/** What is told of replicas. */
import type { Configuration, JoinResponse, Voter } from '../gen/agreement/agreement_pb.js';
import type { Report } from './joining.js';
import type { Role } from './replica.js';

/** A replica's role, or why it has none. */
export type ReplicaState = Role | 'joining' | 'learner' | 'removed';

/** What a replica knows of itself. */
export interface ReplicaStatus {
  readonly name: string;
  readonly replicaId: string;
  readonly state: ReplicaState;
  readonly term: bigint;
  readonly commitIndex: bigint;
  readonly lastApplied: bigint;
  /** Name of the leader, once known. */
  readonly leader?: string;
  /** In contact with a quorum, and current: what it says can be relied on. */
  readonly vouched: boolean;
  readonly configuration?: Configuration;
}

/** What one replica told another. */
export interface ReplicaReport extends Report {
  readonly name: string;
  readonly address: string;
  readonly replicaId: string;
  readonly voter: boolean;
  /** False: no answer, or another replica answered; the other fields are empty then. */
  readonly reachable: boolean;
}

const NOTHING: Report = { state: '', term: 0n, commitIndex: 0n, lastApplied: 0n, vouched: false };

/** A report on a member from its answer. */
export function reportOf(
  member: Voter,
  isVoter: boolean,
  answer: (Report & Pick<JoinResponse, 'replica'>) | undefined,
): ReplicaReport {
  const told = answer?.replica?.replicaId === member.replicaId ? answer : undefined;
  const { state, term, commitIndex, lastApplied, vouched } = told ?? NOTHING;
  const { name, address, replicaId } = member;
  return {
    name,
    address,
    replicaId,
    voter: isVoter,
    reachable: told !== undefined,
    state,
    term,
    commitIndex,
    lastApplied,
    vouched,
  };
}
