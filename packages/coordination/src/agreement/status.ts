/** Status of replicas. */
import type { Configuration, JoinResponse, Voter } from '../gen/agreement/agreement_pb.js';
import type { Report } from './joining.js';
import type { Role } from './replica.js';

/** Role of a replica, or the reason why it has none; a suspended leader is a follower. */
export type ReplicaState = Exclude<Role, 'suspended'> | 'joining' | 'learner' | 'removed';

/** Status of a replica, from its own point of view. */
export interface ReplicaStatus {
  readonly name: string;
  readonly replicaId: string;
  readonly state: ReplicaState;
  readonly term: bigint;
  readonly commitIndex: bigint;
  readonly lastApplied: bigint;
  /** Name of the leader, once known. */
  readonly leader?: string;
  /** Whether the replica is in contact with a quorum and its state is current. */
  readonly vouched: boolean;
  /** Why its storage fails; undefined while it works. */
  readonly storageFailure?: string;
  readonly configuration?: Configuration;
}

/** Status of a replica, as reported to another one. */
export interface ReplicaReport extends Report {
  readonly name: string;
  readonly address: string;
  readonly replicaId: string;
  readonly voter: boolean;
  /** Why its storage fails; empty while it works. */
  readonly storageFailure: string;
  /** False if there was no answer, or another replica answered; the status fields are empty then. */
  readonly reachable: boolean;
}

const EMPTY_REPORT: Report = {
  state: '',
  term: 0n,
  commitIndex: 0n,
  lastApplied: 0n,
  vouched: false,
  storageFailure: '',
};

/** Creates the report on a member from its answer. */
export function reportOf(
  member: Voter,
  isVoter: boolean,
  answer: (Report & Pick<JoinResponse, 'replica'>) | undefined,
): ReplicaReport {
  const report = answer?.replica?.replicaId === member.replicaId ? answer : undefined;
  const { state, term, commitIndex, lastApplied, vouched, storageFailure } = report ?? EMPTY_REPORT;
  const { name, address, replicaId } = member;
  return {
    name,
    address,
    replicaId,
    voter: isVoter,
    reachable: report !== undefined,
    state,
    term,
    commitIndex,
    lastApplied,
    vouched,
    storageFailure,
  };
}
