/**
 * Validation of requests between replicas. Fields that were not sent are empty or zero; an incomplete request could raise
 * terms, truncate logs or add members that can't be reached.
 */
import { EntryKind } from '../gen/agreement/agreement_pb.js';
import type {
  AppendRequest,
  Configuration,
  Entry,
  InstallRequest,
  JoinRequest,
  ProposeRequest,
  Voter,
  VoteRequest,
} from '../gen/agreement/agreement_pb.js';
import { membersOf } from './configuration.js';

const isMember = ({ name, address, replicaId }: Voter): boolean =>
  name !== '' && address !== '' && replicaId !== '';

const isConfiguration = (configuration: Configuration | undefined): boolean =>
  configuration !== undefined &&
  configuration.clusterId !== '' &&
  configuration.voters.length > 0 &&
  membersOf(configuration).every(isMember);

function isEntry({ term, kind, configuration }: Entry): boolean {
  if (term === 0n || kind === EntryKind.UNSPECIFIED) return false;
  return kind !== EntryKind.CONFIGURATION || isConfiguration(configuration);
}

const isAtIndex = (entry: Entry, position: number, previousIndex: bigint): boolean =>
  entry.index === previousIndex + 1n + BigInt(position);

/** Whether a request is valid, by method name. */
export const requestChecks = {
  vote: ({ clusterId, candidate, replicaId, term, lastIndex, lastTerm }: VoteRequest): boolean =>
    clusterId !== '' && candidate !== '' && replicaId !== '' && term > 0n && lastIndex > 0n && lastTerm > 0n,

  append: ({ clusterId, leader, replicaId, term, entries, previousIndex }: AppendRequest): boolean =>
    clusterId !== '' &&
    leader !== '' &&
    replicaId !== '' &&
    term > 0n &&
    entries.every((entry, position) => isEntry(entry) && isAtIndex(entry, position, previousIndex)),

  install: (request: InstallRequest): boolean =>
    request.clusterId !== '' &&
    request.leader !== '' &&
    request.replicaId !== '' &&
    request.term > 0n &&
    request.lastIndex > 0n &&
    request.lastTerm > 0n &&
    isConfiguration(request.configuration),

  join: ({ replica, first }: JoinRequest): boolean =>
    replica !== undefined && isMember(replica) && (first === undefined || isConfiguration(first)),

  propose: ({ command }: ProposeRequest): boolean => command.length > 0,
};
