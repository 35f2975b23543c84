/** Who votes and who learns, and the single steps from one such set to another. */
import { create } from '@bufbuild/protobuf';
import { ConfigurationSchema, VoterSchema } from '../gen/agreement/agreement_pb.js';
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import type { ReplicaAddress } from './options.js';

/** Voters needed for a decision. */
export const quorumOf = (voters: number): number => Math.floor(voters / 2) + 1;

/** Whether a replica votes. */
export function isVoter(configuration: Configuration | undefined, replicaId: string): boolean {
  return configuration?.voters.some((voter) => voter.replicaId === replicaId) ?? false;
}

/** All replicas: voters, then learners. */
export function membersOf(configuration: Configuration | undefined): Voter[] {
  return configuration === undefined ? [] : [...configuration.voters, ...configuration.learners];
}

/** Whether the replicas for which `holds` is true decide. */
export function isQuorum(configuration: Configuration, holds: (voter: Voter) => boolean): boolean {
  return configuration.voters.filter(holds).length >= quorumOf(configuration.voters.length);
}

/** Makes a replica's entry in a configuration. */
export function voter(name: string, address: string, replicaId: string): Voter {
  return create(VoterSchema, { name, address, replicaId });
}

/** Makes a configuration. */
export function configurationOf(
  clusterId: string,
  voters: readonly Voter[],
  learners: readonly Voter[],
): Configuration {
  return create(ConfigurationSchema, { clusterId, voters: [...voters], learners: [...learners] });
}

/** What is known when the next step is chosen. */
export interface Outlook {
  readonly current: Configuration;
  readonly wanted: readonly ReplicaAddress[];
  /** The leader's replica id. */
  readonly self: string;
  /** Replicas that answered lately at their wanted address, by name. */
  readonly found: ReadonlyMap<string, Voter>;
  /** Whether a replica has everything that is committed. */
  readonly isCaughtUp: (replicaId: string) => boolean;
  /** Whether a replica answered lately. */
  readonly isReachable: (replicaId: string) => boolean;
  /** Whether a replica has given no answer for so long that it counts as lost. */
  readonly isLost: (replicaId: string) => boolean;
}

type Step = (outlook: Outlook) => Configuration | undefined;

const without = (members: readonly Voter[], gone: Voter): Voter[] =>
  members.filter((member) => member.replicaId !== gone.replicaId);

const withVoters = (current: Configuration, voters: readonly Voter[]): Configuration =>
  configurationOf(current.clusterId, voters, current.learners);

const withLearners = (current: Configuration, learners: readonly Voter[]): Configuration =>
  configurationOf(current.clusterId, current.voters, learners);

/** A voter or learner that listens at another address now. */
const readdress: Step = ({ current, found }) => {
  const isMoved = (member: Voter): boolean => {
    const now = found.get(member.name);
    return now?.replicaId === member.replicaId && now.address !== member.address;
  };
  if (!membersOf(current).some(isMoved)) return undefined;
  const moved = (member: Voter): Voter => (isMoved(member) ? (found.get(member.name) ?? member) : member);
  return configurationOf(current.clusterId, current.voters.map(moved), current.learners.map(moved));
};

/** A learner that is not wanted, or whose name now belongs to another replica. */
const removeLearner: Step = ({ current, wanted, found }) => {
  const isStale = (learner: Voter): boolean => {
    const now = found.get(learner.name);
    const isWanted = wanted.some(({ name }) => name === learner.name);
    return !isWanted || (now !== undefined && now.replicaId !== learner.replicaId);
  };
  const stale = current.learners.find(isStale);
  return stale && withLearners(current, without(current.learners, stale));
};

/** A wanted replica that is no member: it learns before it votes. */
const addLearner: Step = ({ current, wanted, found }) => {
  const ids = new Set(membersOf(current).map((member) => member.replicaId));
  const missing = wanted
    .map(({ name }) => found.get(name))
    .find((replica) => replica !== undefined && !ids.has(replica.replicaId));
  return missing && withLearners(current, [...current.learners, missing]);
};

const isNameFree = (current: Configuration, learner: Voter): boolean =>
  !current.voters.some(({ name }) => name === learner.name);

/**
 * A voter in whose place another replica answers: its disk is gone, and it can never vote again. Its successor takes its name in
 * the same step, as it would be forgotten otherwise.
 */
const dropReplaced: Step = ({ current, found, isReachable }) => {
  const replaced = current.voters.find(({ name, replicaId }) => {
    const now = found.get(name);
    return now !== undefined && now.replicaId !== replicaId && !isReachable(replicaId);
  });
  const successor = replaced && found.get(replaced.name);
  if (replaced === undefined || successor === undefined) return undefined;
  const learners = [...without(current.learners, successor), successor];
  return configurationOf(current.clusterId, without(current.voters, replaced), learners);
};

/**
 * A voter that still answers and that another replica of its name is to follow, once that one has caught up. Removed before the
 * successor votes: with the successor added first, a set of four with one lost for good would stop at the next failure.
 */
const removeSuperseded: Step = ({ current, isCaughtUp }) => {
  const superseded = current.voters.find((old) =>
    current.learners.some((learner) => learner.name === old.name && isCaughtUp(learner.replicaId)),
  );
  return superseded && withVoters(current, without(current.voters, superseded));
};

/** Takes the vote from a voter; as a learner it is sent everything, and votes again once it has caught up. */
const demote = (current: Configuration, lost: Voter): Configuration =>
  configurationOf(current.clusterId, without(current.voters, lost), [...current.learners, lost]);

/**
 * A lost voter, where another replica has caught up and can vote in its place: for one that comes at another address
 * with a name of its own nothing tells whose successor it is. Before that one votes, as above.
 */
const demoteReplaced: Step = ({ current, isCaughtUp, isLost }) => {
  const isReady = current.learners.some(
    (learner) => isNameFree(current, learner) && isCaughtUp(learner.replicaId),
  );
  const lost = current.voters.find(({ replicaId }) => isLost(replicaId));
  return isReady && lost !== undefined ? demote(current, lost) : undefined;
};

/**
 * A lost voter of an even number of them. Left in place it goes on counting: four voters with one gone for good need all
 * that are left, and one disk more stops everything for ever. Taking its vote gives nothing up: with it back or without
 * it, half of the number, among the others, is what a quorum needs. Of an odd number a quorum would be none less.
 */
const demoteLost: Step = ({ current, isLost }) => {
  if (current.voters.length % 2 === 1) return undefined;
  const lost = current.voters.find(({ replicaId }) => isLost(replicaId));
  return lost && demote(current, lost);
};

/**
 * A lost learner beside an even number of voters: others have come in its place, as without them the number would be odd.
 * Left in place, each instance that is ever replaced would be called for ever.
 */
const dropLost: Step = ({ current, isLost }) => {
  if (current.voters.length % 2 === 1) return undefined;
  const lost = current.learners.find(({ replicaId }) => isLost(replicaId));
  return lost && withLearners(current, without(current.learners, lost));
};

/** A learner that has caught up votes. */
const promote: Step = ({ current, isCaughtUp }) => {
  const ready = current.learners.find((learner) => {
    return isNameFree(current, learner) && isCaughtUp(learner.replicaId);
  });
  if (ready === undefined) return undefined;
  return configurationOf(current.clusterId, [...current.voters, ready], without(current.learners, ready));
};

/** A voter that is not wanted, once all wanted ones vote; the leader itself last. */
const removeVoter: Step = ({ current, wanted, self }) => {
  const names = new Set(current.voters.map(({ name }) => name));
  if (!wanted.every(({ name }) => names.has(name))) return undefined;
  const unwanted = current.voters.filter((old) => !wanted.some(({ name }) => name === old.name));
  const gone = unwanted.find((old) => old.replicaId !== self) ?? unwanted[0];
  return gone && withVoters(current, without(current.voters, gone));
};

/** Of steps that are worth the same the first one is taken: a vote is given before others are taken away for good. */
const steps: readonly Step[] = [
  dropReplaced,
  readdress,
  removeLearner,
  addLearner,
  removeSuperseded,
  demoteReplaced,
  promote,
  demoteLost,
  dropLost,
  removeVoter,
];

/** What a configuration is worth. */
interface Worth {
  /** Voters that answer. */
  readonly alive: number;
  /** Voters that a decision needs. */
  readonly needed: number;
  /** Voters that may be lost before there is no quorum; negative: there is none. */
  readonly spare: number;
}

function worthOf({ voters }: Configuration, { isReachable }: Outlook): Worth {
  const alive = voters.filter(({ replicaId }) => isReachable(replicaId)).length;
  const needed = quorumOf(voters.length);
  return { alive, needed, spare: alive - needed };
}

/**
 * Whether a step may be taken from one configuration to another. One whose own quorum does not answer could never be committed,
 * nor undone. One that needs more voters and leaves no more to spare waits until all voters answer: each slow one would cost
 * the leader its quorum.
 */
function isTakeable(next: Worth, now: Worth, voters: number): boolean {
  if (next.spare < 0) return false;
  return next.spare > now.spare || next.needed <= now.needed || now.alive === voters;
}

const isWorthMore = (a: Worth, b: Worth): boolean =>
  a.spare > b.spare || (a.spare === b.spare && a.needed < b.needed);

/**
 * The next single step towards the wanted replicas, or undefined when none is due or safe. At most one voter
 * is added or removed, so that any quorum before and any quorum after share a replica. Of several steps the one is taken that
 * leaves the most voters to spare, and of those the one that needs the fewest.
 */
export function nextStep(outlook: Outlook): Configuration | undefined {
  const { current } = outlook;
  const now = worthOf(current, outlook);
  let best: { readonly next: Configuration; readonly worth: Worth } | undefined;
  for (const step of steps) {
    const next = step(outlook);
    if (next === undefined) continue;
    const worth = worthOf(next, outlook);
    if (!isTakeable(worth, now, current.voters.length)) continue;
    if (best === undefined || isWorthMore(worth, best.worth)) best = { next, worth };
  }
  return best?.next;
}

/** Whether the voters are the wanted replicas, and nobody is learning. */
export function isSettled(current: Configuration, wanted: readonly ReplicaAddress[]): boolean {
  const isMet = wanted.every(({ name, address }) =>
    current.voters.some((member) => member.name === name && member.address === address),
  );
  return isMet && current.learners.length === 0 && current.voters.length === wanted.length;
}
