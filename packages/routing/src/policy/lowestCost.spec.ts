import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import { BLOCK_BYTES, BLOCK_TOKENS, createChain, sharedBlocks } from '../prefix/index.js';
import type { Chain } from '../prefix/index.js';
import type { Candidate, Job, Load, Outcome, Policy, ProbeReading } from './policy.js';
import { policies } from './registry.js';

const RATE = 8_000;

/** Simulated target. */
class FakeTarget {
  readonly chains: Chain[] = [];
  queuedTokens = 0;
  running = 0;
  /** Whether a cache event was lost, so that no cached block is confirmed. */
  gap = false;
  /** Factor by which first tokens take longer than probes estimate. */
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

interface TestSetup {
  readonly clock: ManualClock;
  readonly targets: FakeTarget[];
  /** Probes sent so far. */
  probeCount: number;
  /** Whether the next probe is answered in time. */
  answers: () => boolean;
  /** Creates the policy of another or restarted entry. */
  readonly entry: (name?: string) => Policy;
}

function createSetup(count: number): TestSetup {
  const clock = new ManualClock();
  const targets = targetsOf(count);
  let seed = 0;
  const made: TestSetup = {
    clock,
    targets,
    probeCount: 0,
    answers: () => true,
    entry: (name = 'default') =>
      policies.get(name)({
        clock,
        dataCentre: 'kollupitiya',
        seed: (seed += 1),
        probe: (candidate, job) => {
          made.probeCount += 1;
          const target = targets.find((one) => one.candidate.name === candidate.name);
          return Promise.resolve(made.answers() ? target?.read(job) : undefined);
        },
      }),
  };
  return made;
}

const block = (label: string): string => label.padEnd(BLOCK_BYTES, '.').slice(0, BLOCK_BYTES);

/** A prompt of 40 blocks shared by all, 80 blocks shared by the collection, and 8 blocks of its own. */
function jobOf(collection: string, question: string, more: Partial<Job> = {}): Job {
  const common = Array.from({ length: 40 }, (_, place) => block(`house ${place}`));
  const shared = Array.from({ length: 80 }, (_, place) => block(`${collection} ${place}`));
  const own = Array.from({ length: 8 }, (_, place) => block(`${collection} ${question} ${place}`));
  const text = [...common, ...shared, ...own].join('');
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

const candidatesOf = (targets: readonly FakeTarget[]): Candidate[] =>
  targets.map((target) => target.candidate);

async function send(policy: Policy, targets: FakeTarget[], job: Job): Promise<FakeTarget> {
  const choice = await policy.choose(job, candidatesOf(targets));
  const target = targets.find(({ candidate }) => candidate === choice.order[0]);
  if (target === undefined) throw new Error('no choice');
  policy.dispatched(target.candidate, job);
  return target;
}

/** Sends and completes a request; its prompt stays cached. */
async function serve(policy: Policy, targets: FakeTarget[], job: Job): Promise<FakeTarget> {
  const choice = await policy.choose(job, candidatesOf(targets));
  const target = await send(policy, targets, job);
  const firstTokenMs = (choice.estimateMs ?? 0) * target.slowness;
  target.chains.push(job.chain);
  const outcome: Outcome = { candidate: target.candidate, job, phase: 'end', ok: true, firstTokenMs };
  policy.settled({ ...outcome, load: target.load() });
  return target;
}

describe('default policy', () => {
  it.each([6, 13, 60])(
    'finds cached prefixes at %s targets after all entries have restarted',
    async (count) => {
      // If entries routed by learnt placements instead of computed homes, the hit rate would drop for minutes
      // after all of them restart together.
      const { targets, entry } = createSetup(count);
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

  it('sends simultaneous requests with a new prefix from all entries to one target', async () => {
    // While no target has a new prefix cached, requests at several entries must agree on a target. If each went to
    // the least loaded one, the prefix would be computed at several targets at once.
    const { targets, entry } = createSetup(13);
    const entries = [entry(), entry(), entry()];
    const chosen = new Set<FakeTarget>();
    for (let turn = 0; turn < 12; turn += 1) {
      const policy = entries[turn % 3];
      if (policy !== undefined) chosen.add(await send(policy, targets, jobOf('new', `q${turn}`)));
    }
    expect(chosen.size).toBe(1);
  });

  it('diverts requests from a busy home, and returns to it when its queue is empty', async () => {
    const { clock, targets, entry } = createSetup(6);
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
    const { targets, entry } = createSetup(6);
    const policy = entry();
    const home = await serve(policy, targets, jobOf('a', 'q0'));
    home.queuedTokens = 15_000;
    expect(await send(policy, targets, jobOf('a', 'q1', { objective: 'reuse' }))).toBe(home);
    expect(await send(policy, targets, jobOf('a', 'q2', { objective: 'latency' }))).not.toBe(home);
  });

  it("does not send all of many entries' requests to the one idle target", async () => {
    // If all entries chose the least loaded target, the load would oscillate between targets: sixty entries learn
    // at once that one target is idle, and each sends it its next request before it reports its load again.
    const { targets, entry } = createSetup(60);
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

  it('takes into account the requests that it sent since the probe', async () => {
    // Forty concurrent requests get probe answers that all show the same target as the best. Without counting the
    // requests sent since the probes, the whole burst would go to this target.
    const { targets, entry } = createSetup(2);
    const policy = entry();
    const first = await serve(policy, targets, jobOf('first', 'q'));
    const jobs = Array.from({ length: 40 }, (_, turn) => jobOf(`c${turn}`, 'q'));
    const chosen = await Promise.all(jobs.map((job) => send(policy, targets, job)));
    expect(chosen.filter((target) => target === first).length).toBeLessThan(30);
  });

  it('avoids a target that is slower than estimated, and tries it again later', async () => {
    // A target with a slow network reports no queue. A policy that looks only at the reported load would send it
    // even more requests.
    const { clock, targets, entry } = createSetup(6);
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

  it('does not overload an engine that has just started', async () => {
    // A restarted engine is idle and has an empty cache. If it took all overflow of the other targets at once, its
    // first requests would wait longest.
    const { clock, targets, entry } = createSetup(6);
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

  it('does not probe further targets while the home has the prefix and no queue', async () => {
    const made = createSetup(13);
    const policy = made.entry();
    for (let turn = 0; turn < 20; turn += 1) await serve(policy, made.targets, jobOf('a', `q${turn}`));
    made.probeCount = 0;
    await serve(policy, made.targets, jobOf('a', 'last'));
    expect(made.probeCount).toBe(4);
  });

  it('sends prompts to the targets that cache them when most probes time out', async () => {
    // Two of three probes time out on a busy machine. If only targets that answer were considered, prompts would go
    // to targets without their prefix, and the hit rate would collapse.
    const made = createSetup(6);
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

  it('uses likely cached blocks for ranking but not for the estimate when cache events are lost', async () => {
    // After a lost cache event no block of a target is confirmed. If likely blocks were ignored, a prompt would go to
    // its home although another target has it cached, and the hit rate would fall with each lost event.
    const { targets, entry } = createSetup(6);
    const home = await send(entry(), targets, jobOf('a', 'q0'));
    const other = targets.find((target) => target !== home);
    other?.chains.push(jobOf('a', 'q1').chain);
    for (const target of targets) target.gap = true;
    const choice = await entry().choose(jobOf('a', 'q2'), candidatesOf(targets));
    expect(choice.order[0]).toBe(other?.candidate);
    expect(choice.estimateMs).toBeGreaterThan(200);
  });

  it('spreads the load when all probes time out', async () => {
    const made = createSetup(6);
    made.answers = () => false;
    const policy = made.entry();
    const chosen = new Set<FakeTarget>();
    for (let turn = 0; turn < 60; turn += 1)
      chosen.add(await send(policy, made.targets, jobOf(`c${turn}`, 'q')));
    expect(chosen.size).toBe(6);
    const choice = await policy.choose(jobOf('a', 'q'), candidatesOf(made.targets));
    expect(choice.estimateMs).toBeUndefined();
  });
});

describe('all policies', () => {
  it.each(policies.names())('%s chooses among the candidates, also for short prompts', async (name) => {
    const { targets, entry } = createSetup(3);
    const policy = entry(name);
    const empty = jobOf('a', 'q', { chain: new BigUint64Array(0), promptTokens: 3 });
    for (const job of [empty, jobOf('a', 'q')]) {
      const choice = await policy.choose(job, candidatesOf(targets));
      expect(candidatesOf(targets)).toEqual(expect.arrayContaining([...choice.order]));
      expect(choice.order.length).toBeGreaterThan(0);
      expect(new Set(choice.order).size).toBe(choice.order.length);
    }
  });
});
