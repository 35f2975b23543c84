/** Configurations of voters and learners, and single-step membership changes. */
import { create } from '@bufbuild/protobuf';
import { ConfigurationSchema, VoterSchema } from '../gen/agreement/agreement_pb.js';
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import type { ReplicaAddress } from './options.js';

/** Size of a quorum. */
export const quorumOf = (voters: number): number => Math.floor(voters / 2) + 1;

/** Whether a replica is a voter. */
export function isVoter(configuration: Configuration | undefined, replicaId: string): boolean {
  return configuration?.voters.some((voter) => voter.replicaId === replicaId) ?? false;
}

/** All members: voters, then learners. */
export function membersOf(configuration: Configuration | undefined): Voter[] {
  return configuration === undefined ? [] : [...configuration.voters, ...configuration.learners];
}

/** Whether the voters for which `isCounted` is true are a quorum. */
export function isQuorum(configuration: Configuration, isCounted: (voter: Voter) => boolean): boolean {
  return configuration.voters.filter(isCounted).length >= quorumOf(configuration.voters.length);
}

/** Creates a member of a configuration. */
export function voter(name: string, address: string, replicaId: string): Voter {
  return create(VoterSchema, { name, address, replicaId });
}

/** Creates a configuration. */
export function configurationOf(
  clusterId: string,
  voters: readonly Voter[],
  learners: readonly Voter[],
): Configuration {
  return create(ConfigurationSchema, { clusterId, voters: [...voters], learners: [...learners] });
}

/** What the leader knows about the replicas when it chooses the next step. */
export interface MembershipView {
  readonly current: Configuration;
  readonly desired: readonly ReplicaAddress[];
  /** The leader's replica id. */
  readonly self: string;
  /** Replicas that answered recently at their desired address, by name. */
  readonly found: ReadonlyMap<string, Voter>;
  /** Whether a replica has all committed entries. */
  readonly isCaughtUp: (replicaId: string) => boolean;
  /** Whether a replica answered recently. */
  readonly isReachable: (replicaId: string) => boolean;
  /** Whether a replica has not answered for so long that it counts as lost. */
  readonly isLost: (replicaId: string) => boolean;
}

type Step = (view: MembershipView) => Configuration | undefined;

const without = (members: readonly Voter[], removed: Voter): Voter[] =>
  members.filter((member) => member.replicaId !== removed.replicaId);

const withVoters = (current: Configuration, voters: readonly Voter[]): Configuration =>
  configurationOf(current.clusterId, voters, current.learners);

const withLearners = (current: Configuration, learners: readonly Voter[]): Configuration =>
  configurationOf(current.clusterId, current.voters, learners);

/** Updates the addresses of members that now listen elsewhere. */
const updateAddress: Step = ({ current, found }) => {
  const isMoved = (member: Voter): boolean => {
    const discovered = found.get(member.name);
    return discovered?.replicaId === member.replicaId && discovered.address !== member.address;
  };
  if (!membersOf(current).some(isMoved)) return undefined;
  const updated = (member: Voter): Voter => (isMoved(member) ? (found.get(member.name) ?? member) : member);
  return configurationOf(current.clusterId, current.voters.map(updated), current.learners.map(updated));
};

/** Removes a learner that is not desired, or whose name now belongs to another replica. */
const removeLearner: Step = ({ current, desired, found }) => {
  const isStale = (learner: Voter): boolean => {
    const discovered = found.get(learner.name);
    const isDesired = desired.some(({ name }) => name === learner.name);
    return !isDesired || (discovered !== undefined && discovered.replicaId !== learner.replicaId);
  };
  const stale = current.learners.find(isStale);
  return stale && withLearners(current, without(current.learners, stale));
};

/** Adds a desired replica as a learner; it must catch up before it votes. */
const addLearner: Step = ({ current, desired, found }) => {
  const ids = new Set(membersOf(current).map((member) => member.replicaId));
  const missing = desired
    .map(({ name }) => found.get(name))
    .find((replica) => replica !== undefined && !ids.has(replica.replicaId));
  return missing && withLearners(current, [...current.learners, missing]);
};

const isNameFree = (current: Configuration, learner: Voter): boolean =>
  !current.voters.some(({ name }) => name === learner.name);

/**
 * Replaces a voter when a replica with another id answers at its address: the old disk is gone, so the voter can never vote
 * again. The successor is added as a learner in the same step, because the name would otherwise no longer be in the
 * configuration.
 */
const replaceVoter: Step = ({ current, found, isReachable }) => {
  const replaced = current.voters.find(({ name, replicaId }) => {
    const discovered = found.get(name);
    return discovered !== undefined && discovered.replicaId !== replicaId && !isReachable(replicaId);
  });
  const successor = replaced && found.get(replaced.name);
  if (replaced === undefined || successor === undefined) return undefined;
  const learners = [...without(current.learners, successor), successor];
  return configurationOf(current.clusterId, without(current.voters, replaced), learners);
};

/**
 * Removes a voter when a learner of the same name has caught up. The voter is removed before the successor votes: with the
 * successor added first, four voters, one of them lost for good, would have no quorum after the next failure.
 */
const removeSupersededVoter: Step = ({ current, isCaughtUp }) => {
  const superseded = current.voters.find((old) =>
    current.learners.some((learner) => learner.name === old.name && isCaughtUp(learner.replicaId)),
  );
  return superseded && withVoters(current, without(current.voters, superseded));
};

/** Demotes a voter to a learner, which still receives all entries and is promoted again once it has caught up. */
const demote = (current: Configuration, lost: Voter): Configuration =>
  configurationOf(current.clusterId, without(current.voters, lost), [...current.learners, lost]);

/**
 * Demotes a lost voter when a learner has caught up and can vote in its place. A successor with a name and address of its own
 * can't be matched to the voter that it replaces. The voter is demoted before the successor votes, for the same reason as in
 * `removeSupersededVoter`.
 */
const demoteLostForSuccessor: Step = ({ current, isCaughtUp, isLost }) => {
  const isReady = current.learners.some(
    (learner) => isNameFree(current, learner) && isCaughtUp(learner.replicaId),
  );
  const lost = current.voters.find(({ replicaId }) => isLost(replicaId));
  return isReady && lost !== undefined ? demote(current, lost) : undefined;
};

/**
 * Demotes a lost voter when the number of voters is even. Four voters with one lost for good need all three others, so one
 * more lost disk would leave no quorum for ever. Demotion costs nothing: whether the lost voter returns or not, a quorum needs
 * half of the original number among the others. With an odd number of voters, the quorum would not become smaller.
 */
const demoteLostVoter: Step = ({ current, isLost }) => {
  if (current.voters.length % 2 === 1) return undefined;
  const lost = current.voters.find(({ replicaId }) => isLost(replicaId));
  return lost && demote(current, lost);
};

/**
 * Removes a lost learner whose place another replica has taken. Otherwise the leader would keep calling every instance that was
 * ever replaced. Without successors at most one voter is demoted, and only from an even number of voters, so one lost learner
 * beside an odd number may have no successor; the last one demoted is kept.
 */
const removeLostLearner: Step = ({ current, isLost }) => {
  const lost = current.learners.filter(({ replicaId }) => isLost(replicaId));
  const withoutSuccessor = current.voters.length % 2;
  const [superseded] = lost.slice(0, lost.length - withoutSuccessor);
  return superseded && withLearners(current, without(current.learners, superseded));
};

/** Promotes a learner that has caught up to a voter. */
const promote: Step = ({ current, isCaughtUp }) => {
  const ready = current.learners.find((learner) => {
    return isNameFree(current, learner) && isCaughtUp(learner.replicaId);
  });
  if (ready === undefined) return undefined;
  return configurationOf(current.clusterId, [...current.voters, ready], without(current.learners, ready));
};

/** Removes a voter that is not desired, once all desired replicas vote; the leader itself is removed last. */
const removeVoter: Step = ({ current, desired, self }) => {
  const names = new Set(current.voters.map(({ name }) => name));
  if (!desired.every(({ name }) => names.has(name))) return undefined;
  const undesired = current.voters.filter((old) => !desired.some(({ name }) => name === old.name));
  const removed = undesired.find((old) => old.replicaId !== self) ?? undesired[0];
  return removed && withVoters(current, without(current.voters, removed));
};

/** Steps in order of preference, which decides between equally good ones: promotions come before final removals. */
const steps: readonly Step[] = [
  replaceVoter,
  updateAddress,
  removeLearner,
  addLearner,
  removeSupersededVoter,
  demoteLostForSuccessor,
  promote,
  demoteLostVoter,
  removeLostLearner,
  removeVoter,
];

/** How many failures a configuration tolerates. */
interface FaultMargin {
  /** Voters that answered recently. */
  readonly alive: number;
  /** Size of the quorum. */
  readonly needed: number;
  /** Voters that may still be lost without losing the quorum; negative if there is none. */
  readonly spare: number;
}

function marginOf({ voters }: Configuration, { isReachable }: MembershipView): FaultMargin {
  const alive = voters.filter(({ replicaId }) => isReachable(replicaId)).length;
  const needed = quorumOf(voters.length);
  return { alive, needed, spare: alive - needed };
}

/**
 * Whether a step between two configurations is safe. A configuration whose own quorum does not answer could be neither
 * committed nor undone. A step that needs a larger quorum without tolerating more losses waits until all voters answer;
 * otherwise one slow voter could cost the leader its quorum.
 */
function isSafeStep(next: FaultMargin, current: FaultMargin, voters: number): boolean {
  if (next.spare < 0) return false;
  return next.spare > current.spare || next.needed <= current.needed || current.alive === voters;
}

const isBetter = (a: FaultMargin, b: FaultMargin): boolean =>
  a.spare > b.spare || (a.spare === b.spare && a.needed < b.needed);

/**
 * The next single step towards the desired replicas, or undefined when none is due or safe. A step adds or removes at most
 * one voter, so that any quorum before it and any quorum after it have a replica in common. Of several possible steps, takes
 * the one that tolerates the most further losses, then the one with the smallest quorum.
 */
export function nextStep(view: MembershipView): Configuration | undefined {
  const { current } = view;
  const currentMargin = marginOf(current, view);
  let best: { readonly next: Configuration; readonly margin: FaultMargin } | undefined;
  for (const step of steps) {
    const next = step(view);
    if (next === undefined) continue;
    const margin = marginOf(next, view);
    if (!isSafeStep(margin, currentMargin, current.voters.length)) continue;
    if (best === undefined || isBetter(margin, best.margin)) best = { next, margin };
  }
  return best?.next;
}

/** Whether the voters are exactly the desired replicas and there are no learners. */
export function isSettled(current: Configuration, desired: readonly ReplicaAddress[]): boolean {
  const areAllVoting = desired.every(({ name, address }) =>
    current.voters.some((member) => member.name === name && member.address === address),
  );
  return areAllVoting && current.learners.length === 0 && current.voters.length === desired.length;
}
