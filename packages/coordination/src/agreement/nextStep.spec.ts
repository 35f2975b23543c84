import { describe, expect, it } from 'vitest';
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';
import { configurationOf, membersOf, nextStep, quorumOf, voter } from './configuration.js';

/** How a voter is: `replaced` by another replica under its name, silent for long (`lost`) or for a moment (`dark`). */
type Health = 'well' | 'replaced' | 'lost' | 'dark';

/** How far a learner is. */
type Learner = 'caughtUp' | 'behind';

interface Situation {
  /** The leader, which is well, is not in it. */
  readonly voters: readonly Health[];
  readonly learners: readonly Learner[];
  /** Whether those that replace voters have caught up, once they learn. */
  readonly areSuccessorsCaughtUp: boolean;
}

const MOST_STEPS = 40;

const HEALTHS: readonly Health[] = ['well', 'replaced', 'lost', 'dark'];

/** Lists of up to `most` elements, each in one order only. */
function lists<T>(values: readonly T[], most: number): T[][] {
  if (most === 0 || values.length === 0) return [[]];
  const [first, ...rest] = values as [T, ...T[]];
  const without = lists(rest, most);
  const withFirst = lists(values, most - 1).map((list) => [first, ...list]);
  return [...without, ...withFirst];
}

const situations: Situation[] = lists(HEALTHS, 6).flatMap((voters) =>
  lists<Learner>(['caughtUp', 'behind'], 2).flatMap((learners) =>
    [true, false].map((areSuccessorsCaughtUp) => ({ voters, learners, areSuccessorsCaughtUp })),
  ),
);

const member = (name: string): Voter => voter(name, `${name}:1`, `${name}-id`);
const successorOf = ({ name, address }: Voter): Voter => voter(name, address, `${name}-successor`);

/** One situation, with the steps that are taken in it. */
class Scene {
  current: Configuration;
  private readonly leader = member('v0');
  private readonly health = new Map<string, Health>();
  private readonly found = new Map<string, Voter>();
  private readonly caughtUp = new Set<string>();

  constructor({ voters, learners, areSuccessorsCaughtUp }: Situation) {
    const others = voters.map((_, at) => member(`v${at + 1}`));
    const learning = learners.map((_, at) => member(`l${at}`));
    this.current = configurationOf('cluster', [this.leader, ...others], learning);
    this.note(this.leader, 'well');
    for (const [at, other] of others.entries()) this.note(other, voters[at] ?? 'well');
    for (const [at, learner] of learning.entries()) {
      this.note(learner, 'well');
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

  /** Voters that may still be lost before there is no quorum. */
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

  /** Learners that could vote: they answer, have caught up, and no voter has their name. */
  get ready(): number {
    const names = new Set(this.current.voters.map(({ name }) => name));
    return this.current.learners.filter(
      (learner) => this.caughtUp.has(learner.replicaId) && !names.has(learner.name),
    ).length;
  }

  next(): Configuration | undefined {
    const wanted = [...new Map(membersOf(this.current).map((one) => [one.name, one])).values()];
    return nextStep({
      current: this.current,
      desired: wanted,
      self: this.leader.replicaId,
      found: this.found,
      isCaughtUp: (id) => this.caughtUp.has(id),
      isReachable: (id) => this.isWell(id),
      isLost: (id) => this.health.get(id) === 'lost',
    });
  }

  private note(one: Voter, health: Health): void {
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

describe('the steps to the wanted replicas, in all small configurations whose leader has a quorum', () => {
  const led = situations.filter((situation) => new Scene(situation).spare >= 0);

  /** Takes all steps of a situation, and checks each. */
  function walk(
    situation: Situation,
    check: (before: Scene, after: Configuration, scene: Scene) => void,
  ): Scene {
    const scene = new Scene(situation);
    for (let steps = 0; steps < MOST_STEPS; steps += 1) {
      const next = scene.next();
      if (next === undefined) return scene;
      const before = Object.assign(new Scene(situation), { current: scene.current });
      scene.current = next;
      check(before, next, scene);
    }
    throw new Error(`no end: ${JSON.stringify(situation)}`);
  }

  const failing = (check: (before: Scene, after: Configuration, scene: Scene) => boolean): Situation[] =>
    led.filter((situation) => {
      const results: boolean[] = [];
      walk(situation, (before, after, scene) => {
        results.push(check(before, after, scene));
      });
      return results.includes(false);
    });

  // Two configurations that follow one another have quorums without a common voter.
  it('change one voter at most', () => {
    expect(failing((before, after) => changedVoters(before.current, after) <= 1)).toEqual([]);
  });

  // A leader loses its quorum to one slow voter in the middle of a change that was to make it safer.
  it('never leave fewer voters to spare', () => {
    expect(failing((before, _after, scene) => scene.spare >= before.spare)).toEqual([]);
  });

  // Each slow voter of a larger set costs the leader its quorum, while one of them doesn't answer and nothing is won.
  it('need more voters only when all answer, or more are left to spare', () => {
    const isWorthIt = (before: Scene, scene: Scene): boolean =>
      scene.needed <= before.needed ||
      scene.spare > before.spare ||
      before.alive === before.current.voters.length;
    expect(failing((before, _after, scene) => isWorthIt(before, scene))).toEqual([]);
  });

  // A voter that can never vote again counts on, and one more is needed for each quorum as learners come to vote.
  it('need no more voters while one counts that was replaced', () => {
    expect(
      failing((before, _after, scene) => before.replaced === 0 || scene.needed <= before.needed),
    ).toEqual([]);
  });

  it('end with no voter that was replaced, and no learner that could vote while all voters answer', () => {
    const ends = led.map((situation) => ({ situation, end: walk(situation, () => undefined) }));
    const isOpen = (end: Scene): boolean => end.replaced > 0 || (end.ready > 0 && end.dark === 0);
    const unfinished = ends.filter(({ end }) => isOpen(end));
    expect(unfinished.map(({ situation }) => situation)).toEqual([]);
  });
});
