import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import { BLOCK_BYTES, BLOCK_TOKENS, createChain, sharedBlocks } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import type { Candidate, Job, Load, Outcome, Policy, ProbeReading } from './policy.js';
import { policies } from './registry.js';

const RATE = 8_000;

/** A target as probes see it. */
class FakeTarget {
  readonly chains: Chain[] = [];
  queuedTokens = 0;
  running = 0;
  /** Whether a cache event was lost: nothing held is vouched for. */
  gap = false;
  /** How many times longer first tokens take than the probes say. */
  slowness = 1;

  constructor(readonly candidate: Candidate) {}

  cachedTokens(job: Job): number {
    return BLOCK_TOKENS * Math.max(0, ...this.chains.map((chain) => sharedBlocks(chain, job.chain)));
  }

  read(job: Job): ProbeReading {
    const likelyTokens = this.cachedTokens(job);
    const cachedTokens = this.gap ? 0 : likelyTokens;
    const estimateMs = ((this.queuedTokens + job.promptTokens - cachedTokens) * 1_000) / RATE;
    return {
      engineIncarnation: 'one',
      accepting: true,
      cachedTokens,
      likelyTokens,
      load: this.load(),
      estimateMs,
    };
  }

  load(): Load {
    const { queuedTokens, running } = this;
    const speeds = { prefillRate: RATE, tokenMs: 20, capacity: 16 };
    return { running, queued: 0, queuedTokens, aheadTokens: queuedTokens, ...speeds };
  }
}

function targetsOf(count: number): FakeTarget[] {
  return Array.from(
    { length: count },
    (_, place) =>
      new FakeTarget({
        name: `agent-${place}`,
        engineIncarnation: 'one',
        dataCentre: 'kollupitiya',
        capacity: 16,
        suspect: false,
      }),
  );
}

interface Bed {
  readonly clock: ManualClock;
  readonly targets: FakeTarget[];
  /** Probes sent so far. */
  probes: number;
  /** Whether the next probe is answered in time. */
  answers: () => boolean;
  /** Each call makes the policy of another entry, or of a restarted one. */
  readonly entry: (name?: string) => Policy;
}

function bed(count: number): Bed {
  const clock = new ManualClock();
  const targets = targetsOf(count);
  let seed = 0;
  const made: Bed = {
    clock,
    targets,
    probes: 0,
    answers: () => true,
    entry: (name = 'default') =>
      policies.get(name)({
        clock,
        dataCentre: 'kollupitiya',
        seed: (seed += 1),
        probe: (candidate, job) => {
          made.probes += 1;
          const target = targets.find((one) => one.candidate.name === candidate.name);
          return Promise.resolve(made.answers() ? target?.read(job) : undefined);
        },
      }),
  };
  return made;
}

const block = (label: string): string => label.padEnd(BLOCK_BYTES, '.').slice(0, BLOCK_BYTES);

/** A prompt of a collection (80 blocks under a house style of 40) with a question of its own (8 blocks). */
function jobOf(collection: string, question: string, more: Partial<Job> = {}): Job {
  const house = Array.from({ length: 40 }, (_, place) => block(`house ${place}`));
  const shared = Array.from({ length: 80 }, (_, place) => block(`${collection} ${place}`));
  const own = Array.from({ length: 8 }, (_, place) => block(`${collection} ${question} ${place}`));
  const text = [...house, ...shared, ...own].join('');
  const chain = createChain(
    { customer: 'museum-a', model: 'valuation', adapter: '', weightsVersion: '1' },
    new TextEncoder().encode(text),
  );
  return {
    service: 'appraiser-models',
    customer: 'museum-a',
    model: 'valuation',
    chain,
    promptTokens: chain.length * BLOCK_TOKENS,
    priority: 50,
    deadlineMs: 10_000,
    objective: 'latency',
    excluded: new Set(),
    ...more,
  };
}

const namesOf = (targets: readonly FakeTarget[]): Candidate[] => targets.map((target) => target.candidate);

async function send(policy: Policy, targets: FakeTarget[], job: Job): Promise<FakeTarget> {
  const choice = await policy.choose(job, namesOf(targets));
  const target = targets.find(({ candidate }) => candidate === choice.order[0]);
  if (target === undefined) throw new Error('no choice');
  policy.dispatched(target.candidate, job);
  return target;
}

/** Sends and ends a request; its prompt stays cached. */
async function serve(policy: Policy, targets: FakeTarget[], job: Job): Promise<FakeTarget> {
  const choice = await policy.choose(job, namesOf(targets));
  const target = await send(policy, targets, job);
  const firstTokenMs = (choice.estimateMs ?? 0) * target.slowness;
  target.chains.push(job.chain);
  const outcome: Outcome = { candidate: target.candidate, job, phase: 'end', ok: true, firstTokenMs };
  policy.settled({ ...outcome, load: target.load() });
  return target;
}

describe('default policy', () => {
  it.each([6, 13, 60])(
    "finds the prefix again after all of %s targets' entries have restarted",
    async (count) => {
      // Symptom: after a restart of the entries the hit rate falls for minutes.
      // Sequence: entries route by what they have learnt, all restart together, all has to be learnt anew.
      // Cause: homes that are remembered instead of computed.
      const { targets, entry } = bed(count);
      const before = entry();
      const homes = new Map<string, FakeTarget>();
      for (let turn = 0; turn < 120; turn += 1) {
        const collection = `collection ${turn % 30}`;
        homes.set(collection, await serve(before, targets, jobOf(collection, `q${turn}`)));
      }
      const restarted = entry();
      for (const [collection, home] of homes) {
        expect(await send(restarted, targets, jobOf(collection, 'again'))).toBe(home);
      }
    },
  );

  it('sends a herd on a new prefix to one target, from all entries', async () => {
    // Symptom: a new prefix is computed at several targets at once. Sequence: twelve requests with it arrive at
    // three entries together. Cause: no target has it cached, so each goes wherever it is idlest.
    const { targets, entry } = bed(13);
    const entries = [entry(), entry(), entry()];
    const chosen = new Set<FakeTarget>();
    for (let turn = 0; turn < 12; turn += 1) {
      const policy = entries[turn % 3];
      if (policy !== undefined) chosen.add(await send(policy, targets, jobOf('new', `q${turn}`)));
    }
    expect(chosen.size).toBe(1);
  });

  it('spills from a busy home to a target where the prefix is cached or waits are shorter, and back', async () => {
    const { clock, targets, entry } = bed(6);
    const policy = entry();
    const home = await serve(policy, targets, jobOf('a', 'q0'));
    await clock.advance(1_000);
    home.queuedTokens = 200_000;
    expect(await send(policy, targets, jobOf('a', 'q1'))).not.toBe(home);
    home.queuedTokens = 0;
    await clock.advance(1_000);
    expect(await send(policy, targets, jobOf('a', 'q2'))).toBe(home);
  });

  it('waits longer for a cached prefix when the objective is reuse', async () => {
    const { targets, entry } = bed(6);
    const policy = entry();
    const home = await serve(policy, targets, jobOf('a', 'q0'));
    home.queuedTokens = 15_000;
    expect(await send(policy, targets, jobOf('a', 'q1', { objective: 'reuse' }))).toBe(home);
    expect(await send(policy, targets, jobOf('a', 'q2', { objective: 'latency' }))).not.toBe(home);
  });

  it("does not send all of many entries' requests to the one idle target", async () => {
    // Symptom: load swings from target to target. Sequence: sixty entries hear at once that one of sixty targets
    // idles, and each sends it its next request before the load is told again. Cause: all take the idlest.
    const { targets, entry } = bed(60);
    const idle = targets[7];
    for (const target of targets) target.queuedTokens = target === idle ? 0 : 16_000;
    const entries = Array.from({ length: 60 }, () => entry());
    for (const policy of entries) {
      for (const target of targets) {
        const outcome = {
          candidate: target.candidate,
          job: jobOf('heard', 'q'),
          phase: 'end',
          ok: true,
        } as const;
        policy.settled({ ...outcome, load: target.load() });
      }
    }
    let sent = 0;
    for (const [turn, policy] of entries.entries()) {
      if ((await send(policy, targets, jobOf(`c${turn}`, 'q'))) === idle) sent += 1;
    }
    expect(sent).toBeLessThan(25);
  });

  it('counts what it has sent itself since the probe', async () => {
    // Symptom: a burst goes to one target. Sequence: forty requests are decided while the answers of all their
    // probes still say that one target is the best. Cause: what the entry has sent in between is not counted.
    const { targets, entry } = bed(2);
    const policy = entry();
    const first = await serve(policy, targets, jobOf('first', 'q'));
    const jobs = Array.from({ length: 40 }, (_, turn) => jobOf(`c${turn}`, 'q'));
    const chosen = await Promise.all(jobs.map((job) => send(policy, targets, job)));
    expect(chosen.filter((target) => target === first).length).toBeLessThan(30);
  });

  it('avoids a target that answers later than it promises, and tries it again later', async () => {
    // Symptom: one target's requests are slow, and it gets more of them, for it looks idle.
    // Sequence: its network slows down; it reports no queue. Cause: only reported load is looked at.
    const { clock, targets, entry } = bed(6);
    const policy = entry();
    const slow = await serve(policy, targets, jobOf('a', 'q0'));
    slow.slowness = 20;
    const sentToSlow = async (prefix: string): Promise<number> => {
      let sent = 0;
      for (let turn = 0; turn < 60; turn += 1) {
        if ((await serve(policy, targets, jobOf(`${prefix}${turn}`, 'q'))) === slow) sent += 1;
      }
      return sent;
    };
    expect(await sentToSlow('noticed')).toBeLessThan(8);
    expect(await sentToSlow('avoided')).toBe(0);
    slow.slowness = 1;
    await clock.advance(60_000);
    expect(await sentToSlow('tried')).toBeGreaterThan(0);
  });

  it('does not flood an engine that has just started', async () => {
    // Symptom: the first requests to a restarted engine wait longest. Sequence: it comes back empty and idle, and
    // the overflow of all others goes there. Cause: idle counts, cold does not.
    const { clock, targets, entry } = bed(6);
    const policy = entry();
    await serve(policy, targets, jobOf('a', 'q0'));
    await clock.advance(10_000);
    const started = {
      ...(targets[2]?.candidate ?? targetsOf(1)[0]?.candidate),
      engineIncarnation: 'two',
    } as Candidate;
    targets[2] = new FakeTarget(started);
    for (const target of targets) target.queuedTokens = target.candidate === started ? 0 : 4_000;
    let sent = 0;
    for (let turn = 0; turn < 15; turn += 1) {
      if ((await send(policy, targets, jobOf(`c${turn}`, 'q'))) !== targets[2]) continue;
      sent += 1;
      targets[2].running += 1;
    }
    expect(sent).toBeGreaterThan(0);
    expect(sent).toBeLessThanOrEqual(4);
  });

  it('leaves the other targets in peace while the home has the prefix and no queue', async () => {
    const made = bed(13);
    const policy = made.entry();
    for (let turn = 0; turn < 20; turn += 1) await serve(policy, made.targets, jobOf('a', `q${turn}`));
    made.probes = 0;
    await serve(policy, made.targets, jobOf('a', 'last'));
    expect(made.probes).toBe(4);
  });

  it('keeps prompts at their caches when most probes time out', async () => {
    // Symptom: on a busy machine the hit rate falls to nothing, and with it everything else.
    // Sequence: two probes of three time out; the target with the prefix is silent, another one answers.
    // Cause: only targets that answer are weighed.
    const made = bed(6);
    const policy = made.entry();
    const homes = new Map<string, FakeTarget>();
    const collections = Array.from({ length: 20 }, (_, place) => `c${place}`);
    for (const collection of collections) {
      homes.set(collection, await serve(policy, made.targets, jobOf(collection, 'q')));
    }
    let turn = 0;
    made.answers = () => (turn += 1) % 3 === 0;
    let kept = 0;
    for (const collection of collections) {
      await made.clock.advance(1_000);
      if ((await serve(policy, made.targets, jobOf(collection, 'r'))) === homes.get(collection)) kept += 1;
    }
    expect(kept).toBeGreaterThanOrEqual(18);
  });

  it('finds the likely cache when events are lost, and does not promise it', async () => {
    // Symptom: hit rate falls with each lost cache event. Sequence: an event is lost; no target vouches for what
    // it holds; a prompt goes to its home though another target has it. Cause: what is likely counts for nothing.
    const { targets, entry } = bed(6);
    const home = await send(entry(), targets, jobOf('a', 'q0'));
    const other = targets.find((target) => target !== home);
    other?.chains.push(jobOf('a', 'q1').chain);
    for (const target of targets) target.gap = true;
    const choice = await entry().choose(jobOf('a', 'q2'), namesOf(targets));
    expect(choice.order[0]).toBe(other?.candidate);
    expect(choice.estimateMs).toBeGreaterThan(200);
  });

  it('spreads the load over targets that are all silent', async () => {
    const made = bed(6);
    made.answers = () => false;
    const policy = made.entry();
    const chosen = new Set<FakeTarget>();
    for (let turn = 0; turn < 60; turn += 1)
      chosen.add(await send(policy, made.targets, jobOf(`c${turn}`, 'q')));
    expect(chosen.size).toBe(6);
    const choice = await policy.choose(jobOf('a', 'q'), namesOf(made.targets));
    expect(choice.estimateMs).toBeUndefined();
  });
});

describe('all policies', () => {
  it.each(policies.names())('%s chooses among the candidates, short prompts too', async (name) => {
    const { targets, entry } = bed(3);
    const policy = entry(name);
    const empty = jobOf('a', 'q', { chain: new BigUint64Array(0), promptTokens: 3 });
    for (const job of [empty, jobOf('a', 'q')]) {
      const choice = await policy.choose(job, namesOf(targets));
      expect(namesOf(targets)).toEqual(expect.arrayContaining([...choice.order]));
      expect(choice.order.length).toBeGreaterThan(0);
      expect(new Set(choice.order).size).toBe(choice.order.length);
    }
  });
});
