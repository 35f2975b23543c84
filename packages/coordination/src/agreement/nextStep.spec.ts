import { describe, expect, it } from 'vitest';
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import { configurationOf, membersOf, nextStep, quorumOf, voter } from './configuration.js';

/** State of a voter: `replaced` by another replica under its name, unreachable for long (`lost`) or for a moment (`dark`). */
type Health = 'well' | 'replaced' | 'lost' | 'dark';

/** Replication state of a learner. */
type Learner = 'caughtUp' | 'behind';

interface Scenario {
  /** Voters without the leader, which is always well. */
  readonly voters: readonly Health[];
  readonly learners: readonly Learner[];
  /** Whether the successors of replaced voters catch up once they are learners. */
  readonly areSuccessorsCaughtUp: boolean;
}

const MAX_STEPS = 40;

const HEALTHS: readonly Health[] = ['well', 'replaced', 'lost', 'dark'];

/** All multisets of up to `most` values, as lists. */
function lists<T>(values: readonly T[], most: number): T[][] {
  if (most === 0 || values.length === 0) return [[]];
  const [first, ...rest] = values as [T, ...T[]];
  const without = lists(rest, most);
  const withFirst = lists(values, most - 1).map((list) => [first, ...list]);
  return [...without, ...withFirst];
}

const scenarios: Scenario[] = lists(HEALTHS, 6).flatMap((voters) =>
  lists<Learner>(['caughtUp', 'behind'], 2).flatMap((learners) =>
    [true, false].map((areSuccessorsCaughtUp) => ({ voters, learners, areSuccessorsCaughtUp })),
  ),
);

const member = (name: string): Voter => voter(name, `${name}:1`, `${name}-id`);
const successorOf = ({ name, address }: Voter): Voter => voter(name, address, `${name}-successor`);

/** Simulates the steps taken in one scenario. */
class Simulation {
  current: Configuration;
  private readonly leader = member('v0');
  private readonly health = new Map<string, Health>();
  private readonly found = new Map<string, Voter>();
  private readonly caughtUp = new Set<string>();

  constructor({ voters, learners, areSuccessorsCaughtUp }: Scenario) {
    const others = voters.map((_, at) => member(`v${at + 1}`));
    const learning = learners.map((_, at) => member(`l${at}`));
    this.current = configurationOf('cluster', [this.leader, ...others], learning);
    this.addReplica(this.leader, 'well');
    for (const [at, other] of others.entries()) this.addReplica(other, voters[at] ?? 'well');
    for (const [at, learner] of learning.entries()) {
      this.addReplica(learner, 'well');
      if (learners[at] === 'caughtUp') this.caughtUp.add(learner.replicaId);
    }
    if (areSuccessorsCaughtUp) {
      for (const other of others) this.caughtUp.add(successorOf(other).replicaId);
    }
  }

  /** Voters that answer. */
  get alive(): number {
    return this.current.voters.filter(({ replicaId }) => this.isWell(replicaId)).length;
  }

  get needed(): number {
    return quorumOf(this.current.voters.length);
  }

  /** Voters that may still be lost without losing the quorum. */
  get spare(): number {
    return this.alive - this.needed;
  }

  get replaced(): number {
    return this.votersThat('replaced');
  }

  get dark(): number {
    return this.votersThat('dark');
  }

  private votersThat(health: Health): number {
    return this.current.voters.filter(({ replicaId }) => this.health.get(replicaId) === health).length;
  }

  /** Learners that could be promoted: they answer, have caught up, and no voter has their name. */
  get ready(): number {
    const names = new Set(this.current.voters.map(({ name }) => name));
    return this.current.learners.filter(
      (learner) => this.caughtUp.has(learner.replicaId) && !names.has(learner.name),
    ).length;
  }

  next(): Configuration | undefined {
    const desired = [...new Map(membersOf(this.current).map((one) => [one.name, one])).values()];
    return nextStep({
      current: this.current,
      desired,
      self: this.leader.replicaId,
      found: this.found,
      isCaughtUp: (id) => this.caughtUp.has(id),
      isReachable: (id) => this.isWell(id),
      isLost: (id) => this.health.get(id) === 'lost',
    });
  }

  private addReplica(one: Voter, health: Health): void {
    this.health.set(one.replicaId, health);
    if (health === 'well') this.found.set(one.name, one);
    if (health !== 'replaced') return;
    const successor = successorOf(one);
    this.health.set(successor.replicaId, 'well');
    this.found.set(one.name, successor);
  }

  private isWell(replicaId: string): boolean {
    return this.health.get(replicaId) === 'well';
  }
}

const idsOf = ({ voters }: Configuration): Set<string> => new Set(voters.map(({ replicaId }) => replicaId));

const changedVoters = (before: Configuration, after: Configuration): number => {
  const [old, fresh] = [idsOf(before), idsOf(after)];
  return [...old].filter((id) => !fresh.has(id)).length + [...fresh].filter((id) => !old.has(id)).length;
};

describe('the steps to the desired replicas, in all small configurations whose leader has a quorum', () => {
  const withQuorum = scenarios.filter((scenario) => new Simulation(scenario).spare >= 0);

  /** Takes all steps of a scenario, and checks each. */
  function runSteps(
    scenario: Scenario,
    check: (before: Simulation, after: Configuration, simulation: Simulation) => void,
  ): Simulation {
    const simulation = new Simulation(scenario);
    for (let steps = 0; steps < MAX_STEPS; steps += 1) {
      const next = simulation.next();
      if (next === undefined) return simulation;
      const before = Object.assign(new Simulation(scenario), { current: simulation.current });
      simulation.current = next;
      check(before, next, simulation);
    }
    throw new Error(`no end: ${JSON.stringify(scenario)}`);
  }

  const failing = (
    check: (before: Simulation, after: Configuration, simulation: Simulation) => boolean,
  ): Scenario[] =>
    withQuorum.filter((scenario) => {
      const results: boolean[] = [];
      runSteps(scenario, (before, after, simulation) => {
        results.push(check(before, after, simulation));
      });
      return results.includes(false);
    });

  // Guards against successive configurations with disjoint quorums.
  it('change one voter at most', () => {
    expect(failing((before, after) => changedVoters(before.current, after) <= 1)).toEqual([]);
  });

  // Guards against a leader that loses its quorum to one slow voter in the middle of a change meant to increase fault
  // tolerance.
  it('never reduce the number of tolerated losses', () => {
    expect(failing((before, _after, simulation) => simulation.spare >= before.spare)).toEqual([]);
  });

  // Guards against a larger quorum without more fault tolerance while a voter doesn't answer: each slow voter could cost
  // the leader its quorum.
  it('make the quorum larger only when all voters answer or more losses are tolerated', () => {
    const isJustified = (before: Simulation, simulation: Simulation): boolean =>
      simulation.needed <= before.needed ||
      simulation.spare > before.spare ||
      before.alive === before.current.voters.length;
    expect(failing((before, _after, simulation) => isJustified(before, simulation))).toEqual([]);
  });

  // Guards against promotions while a voter that can never vote again still counts: each would make the quorum larger.
  it('make the quorum no larger while a replaced voter counts', () => {
    expect(
      failing((before, _after, simulation) => before.replaced === 0 || simulation.needed <= before.needed),
    ).toEqual([]);
  });

  it('end without replaced voters, and without learners that could vote while all voters answer', () => {
    const ends = withQuorum.map((scenario) => ({ scenario, end: runSteps(scenario, () => undefined) }));
    const isOpen = (end: Simulation): boolean => end.replaced > 0 || (end.ready > 0 && end.dark === 0);
    const unfinished = ends.filter(({ end }) => isOpen(end));
    expect(unfinished.map(({ scenario }) => scenario)).toEqual([]);
  });
});
