import { ManualClock, silentLog } from '@jasmineroute/core';
import { ClusterView } from '@jasmineroute/knowledge';
import type { Target } from '@jasmineroute/knowledge';
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { createRandom } from '@jasmineroute/routing';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetMonitor } from '../target/index.js';
import { TargetSelector, drawService } from './placement.js';
import type { Placement, PlacementInput } from './placement.js';
import type { PartsLocation } from './prefillCost.js';
import { eligibleByWeights } from './weights.js';

const target = (id: string, version = 1, dataCentre = 'here'): Target => ({
  id,
  name: id,
  service: 's',
  address: `${id}:1`,
  dataCentre,
  softwareVersion: 'v1',
  capacity: 4,
  weights: new Map([['m', version]]),
  paused: false,
});

const targets = ['a', 'b', 'c', 'd', 'e'].map((id) => target(id));

describe('placement', () => {
  let clock: ManualClock;
  let monitor: TargetMonitor;
  let selector: TargetSelector;

  beforeEach(() => {
    clock = new ManualClock();
    monitor = new TargetMonitor(clock);
    selector = new TargetSelector(monitor, 'here', createRandom(1));
  });

  const choose = (
    candidates: readonly Target[],
    change: Partial<PlacementInput> = {},
  ): Placement | undefined =>
    selector.choose({ service: 's', candidates, priority: 1, salt: '', objectiveMs: 400, ...change });

  const prompt = (shared: string, own: string, tokens = 1_000) => ({
    model: 'm',
    parts: [shared, own].map((id) => ({ id, tokens })),
    promptTokens: 2 * tokens,
    maxOutputTokens: 10,
  });

  const home = (shared: string, own = 'own'): string | undefined =>
    choose(targets, { prompt: prompt(shared, own) })?.target.id;

  it('sends prompts with the same shared part to one target, and spreads the others', () => {
    const homes = new Set(Array.from({ length: 20 }, (_, at) => home('one', `own-${at}`)));
    expect(homes.size).toBe(1);
    expect(new Set(Array.from({ length: 60 }, (_, at) => home(`part-${at}`))).size).toBe(5);
  });

  it('assigns no home target to a short prompt', () => {
    const drawn = new Set(
      Array.from({ length: 40 }, () => {
        const short = prompt('short', 'own', 100);
        return choose(targets, { prompt: short })?.target.id;
      }),
    );
    expect(drawn.size).toBeGreaterThan(1);
  });

  it('avoids a home target with a long queue and returns to it afterwards', () => {
    // If the home target took all requests with a popular shared part regardless of its queue, they would wait there
    // while other targets are idle.
    const first = home('hot') ?? '';
    const open = Array.from({ length: 12 }, () => monitor.startRequest(first, 1_000));
    expect(home('hot')).not.toBe(first);
    for (const one of open) one.finish();
    expect(home('hot')).toBe(first);
  });

  it('compares the tokens to be read, not the number of requests', () => {
    // Choosing the target with the fewest requests delays first tokens by more than a second while other targets are
    // idle: prompts have 200 to 18,000 tokens, and a target that has just loaded weights has no requests but must
    // read every prompt in full, as its cache is empty.
    const [a, b] = [target('a'), target('b')];
    const chosen = () => choose([a, b], { prompt: prompt('short', 'own', 400) })?.target.id;
    monitor.startRequest('a', 18_000);
    for (let n = 0; n < 3; n += 1) monitor.startRequest('b', 300);
    expect(chosen()).toBe('b');
    monitor.backlog.recordRemote('e2', [{ targetId: 'b', tokens: 40_000 }]);
    expect(chosen()).toBe('a');
  });

  it('prefers a target that has the shared parts, and the home target when no cache has them', () => {
    // Caches turn over within two seconds, so the home target may have only a third of its parts while other targets
    // have some of them. Assuming that it still has what it once read leads to needless reads and fetches that
    // saturate the store's link.
    const candidates = [target('new', 2), target('old', 1)];
    const chosen = (place: (one: Target) => PartsLocation) =>
      Array.from({ length: 20 }, (_, at) =>
        choose(candidates, {
          prompt: prompt(`part-${at}`, 'own', 4_000),
          availabilityAt: (one) => ({ location: place(one), cachedTokens: 0 }),
        }),
      );
    const atOld = chosen(({ id }) => (id === 'old' ? 'here' : 'store'));
    expect(new Set(atOld.map((one) => one?.target.id))).toEqual(new Set(['old']));
    const stored = chosen(({ id }) => (id === 'old' ? 'store' : 'nowhere'));
    expect(new Set(stored.map((one) => one?.target.id))).toEqual(new Set(['old']));
    for (const place of ['nowhere', 'unknown'] as const) {
      expect(new Set(chosen(() => place).map((one) => one?.reason))).toEqual(new Set(['home']));
    }
  });

  it('sends less work to a slower target', () => {
    for (let n = 0; n < 60; n += 1) {
      monitor.pace.recordPause('a', 26);
      monitor.pace.recordPause('b', 34);
    }
    const chosen = () => choose([target('a'), target('b')], { prompt: prompt('short', 'own', 400) });
    monitor.startRequest('a', 4_000);
    monitor.startRequest('b', 4_000);
    expect(chosen()?.target.id).toBe('a');
    monitor.startRequest('a', 4_000);
    expect(chosen()?.target.id).toBe('b');
    expect(chosen()?.slowness).toBeCloseTo(34 / 26, 1);
  });

  it('drops the work of an entry that stopped reporting, and prompts that were read', async () => {
    monitor.backlog.recordRemote('e2', [{ targetId: 'a', tokens: 500 }]);
    const open = monitor.startRequest('a', 300);
    expect(monitor.backlog.tokensAt('a')).toBe(800);
    open.markRead();
    expect(monitor.backlog.ownWork()).toEqual([]);
    await clock.advance(1_000);
    expect(monitor.backlog.tokensAt('a')).toBe(0);
    open.finish();
    expect(monitor.backlog.tokensAt('a')).toBe(0);
  });

  it('avoids a target that refuses requests, for longer each time, until it succeeds', async () => {
    // A target that refuses requests has no work, so it looks least loaded and gets the next request. This happens
    // when a cancelled order to load weights is carried out seconds later: most requests are refused although other
    // targets have capacity.
    const chosen = (): string | undefined =>
      choose([target('a'), target('b')], { prompt: prompt('short', 'own', 400) })?.target.id;
    monitor.startRequest('b', 30_000);
    expect(chosen()).toBe('a');
    for (let n = 0; n < 5; n += 1) monitor.recordRefusal('a');
    expect(chosen()).toBe('b');
    await clock.advance(250);
    expect(chosen()).toBe('a');
    monitor.recordRefusal('a');
    await clock.advance(499);
    expect(chosen()).toBe('b');
    await clock.advance(1);
    monitor.recordSuccess('a');
    monitor.recordRefusal('a');
    await clock.advance(250);
    expect(chosen()).toBe('a');
  });

  it('chooses the least loaded target for requests without a prompt, and the nearest of equals', () => {
    const far = targets.map(({ id }) => target(id, 1, 'there'));
    const near = target('near');
    const candidates = [...far, near];
    expect(choose(candidates)?.target.id).toBe('near');
    monitor.recordLoad('near', { running: 3, waiting: 0 });
    expect(choose(candidates)?.target.id).not.toBe('near');
  });

  it('discounts reported load with age', async () => {
    monitor.recordLoad('a', { running: 4, waiting: 0 });
    expect(monitor.requestsAt('a')).toBe(4);
    await clock.advance(1_000);
    expect(monitor.requestsAt('a')).toBe(2);
    await clock.advance(2_000);
    expect(monitor.requestsAt('a')).toBe(0);
  });

  it('reports overload when every engine is at its request limit, which is higher for urgent requests', () => {
    // If requests are accepted until a target refuses them, a burst fills the queue of every engine, and nine of ten
    // requests are late although the engines run at full throughput.
    const isOverrun = (priority: number, hasPrompt = true): boolean => {
      const own = hasPrompt ? prompt('one', 'own') : undefined;
      const input = { service: 's', candidates: targets, prompt: own, priority, salt: '', objectiveMs: 1e6 };
      const placement = selector.choose(input);
      if (placement === undefined) throw new Error('no target');
      return selector.isOverloaded(input, placement);
    };
    const fill = (running: number): void => {
      for (const { id } of targets) monitor.recordLoad(id, { running, waiting: 0 });
    };
    fill(2);
    expect(isOverrun(1)).toBe(false);
    fill(3);
    expect(isOverrun(1)).toBe(true);
    expect(isOverrun(0)).toBe(false);
    fill(4);
    expect(isOverrun(0)).toBe(true);
    expect(isOverrun(1, false)).toBe(false);
  });

  it('reports overload when prompts would wait too long behind others, whatever their own size', () => {
    // After new weights all caches are empty, and prompts of 9,000 tokens arrive faster than they are read. Sending
    // requests that can't be on time makes the next ones late too, for seconds, with only a fifth of the slots in
    // use.
    const isOverrun = (priority: number, tokens: number): boolean => {
      const own = prompt('one', 'own', tokens);
      const input = { service: 's', candidates: targets, prompt: own, priority, salt: '', objectiveMs: 300 };
      const placement = selector.choose(input);
      if (placement === undefined) throw new Error('no target');
      return selector.isOverloaded(input, placement);
    };
    const wait = (tokens: number): void => {
      for (const { id } of targets) monitor.startRequest(id, tokens);
    };
    expect(isOverrun(1, 40_000)).toBe(false);
    wait(13_000);
    expect([isOverrun(1, 100), isOverrun(1, 40_000)]).toEqual([false, false]);
    wait(5_000);
    expect([isOverrun(1, 100), isOverrun(1, 40_000)]).toEqual([true, true]);
    expect(isOverrun(0, 100)).toBe(false);
    wait(8_000);
    expect(isOverrun(0, 100)).toBe(true);
  });

  it('predicts the first token from earlier ones and the wait for the fetch', async () => {
    for (let n = 0; n < 200; n += 1) {
      const tokens = 1_000 + (n % 10) * 3_000;
      const open = monitor.startRequest('a', tokens, undefined, 's');
      await clock.advance(30 + tokens * 0.02);
      open.markRead();
      open.finish();
    }
    const expected = (fetchMs: number): number | undefined =>
      choose([target('a')], {
        prompt: prompt('one', 'own', 4_000),
        availabilityAt: () => ({ location: 'store', cachedTokens: 0, fetchMs }),
      })?.expectedMs;
    expect(Math.abs((expected(0) ?? 0) - 110)).toBeLessThan(10);
    expect((expected(250) ?? 0) - (expected(0) ?? 0)).toBe(250);
  });

  it('avoids a target that failed, for longer with each failure, unless all targets failed', async () => {
    monitor.recordFailure('a');
    expect(monitor.isAvoided('a')).toBe(true);
    await clock.advance(250);
    expect(monitor.isAvoided('a')).toBe(false);
    monitor.recordFailure('a');
    await clock.advance(250);
    expect(monitor.isAvoided('a')).toBe(true);
    const only = [target('a')];
    expect(choose(only)?.target.id).toBe('a');
  });

  it('avoids a target with open requests that stopped sending', async () => {
    // A host that loses its network leaves its connections open, and missed heartbeats are noticed only seconds
    // later. Until then requests would hang to their deadline, one after the other.
    const open = monitor.startRequest('a');
    await clock.advance(800);
    expect(monitor.isAvoided('a')).toBe(false);
    await clock.advance(1);
    expect(monitor.isAvoided('a')).toBe(true);
    monitor.recordActivity('a');
    expect(monitor.isAvoided('a')).toBe(false);
    await clock.advance(900);
    open.finish();
    expect(monitor.isAvoided('a')).toBe(false);
  });

  it('draws services by weight', () => {
    const route = { services: ['x', 'y', 'z'].map((service, at) => ({ service, weight: at * 10 })) };
    const random = createRandom(2);
    const drawn = Array.from({ length: 300 }, () => drawService(route as never, random));
    expect(drawn.filter((one) => one === 'x')).toHaveLength(0);
    expect(drawn.filter((one) => one === 'y').length).toBeGreaterThan(60);
    expect(drawn.filter((one) => one === 'z').length).toBeGreaterThan(150);
  });
});

describe('targets while weights are replaced', () => {
  const clock = new ManualClock();
  const knowledge = new ClusterView(clock, silentLog);
  const event = create(controlMessage.FollowEventSchema, {
    weights: [{ model: 'm', version: 2n, ageMs: 0 }],
  });
  knowledge.apply('c1', event, true);
  const request = { model: 'm', resumable: false, moving: false };
  let limitMs = 8_000;
  const ids = (candidates: readonly Target[], now: number, change = {}): string[] =>
    eligibleByWeights(candidates, { ...request, ...change }, knowledge, now, limitMs).map(({ id }) => id);
  const old = [target('a'), target('b'), target('c')];
  const fresh = [target('d', 2), target('e', 2), target('f', 2)];

  it('are all used right after the new weights are named', () => {
    expect(ids([...old, ...fresh], 500)).toHaveLength(6);
  });

  it('are excluded with old weights once enough targets have the new ones', () => {
    expect(ids([...old, ...fresh], 1_500)).toEqual(['d', 'e', 'f']);
    expect(ids([...old, target('d', 2)], 1_500)).toHaveLength(4);
  });

  it('are excluded with old weights for a moving stream as soon as any target has the new ones', () => {
    const moving = { resumable: true, moving: true };
    expect(ids([...old, target('d', 2)], 100, moving)).toEqual(['d']);
  });

  it('get long streams only if they have loaded already or load last', () => {
    // A stream can move only once. If moved streams go to a target that loads next, that target must wait for their
    // end and takes no work for seconds.
    expect(ids(old, 100, { resumable: true })).toEqual(['b', 'c']);
    expect(ids([...old, target('d', 2)], 100, { resumable: true })).toEqual(['d', 'b', 'c']);
    expect(ids(old, 100, { resumable: true, moving: true })).toEqual(['b', 'c']);
    expect(ids([target('a')], 100, { resumable: true })).toEqual(['a']);
  });

  it('serve nothing on weights that were replaced too long ago', () => {
    // When a rollout is delayed, entries must not keep using targets with old weights past the time limit.
    expect(ids(old, 7_000)).toEqual([]);
    expect(ids([...old, target('d', 2)], 7_000)).toEqual(['d']);
  });

  it('are used for as long as the configured limit allows', () => {
    // The time limit differs between deployments. With a limit of 12 s and a rollout of 9 s, a limit fixed for
    // another deployment sends all requests from 6.5 s on to the two targets with new weights, and nearly all are
    // late.
    limitMs = 12_000;
    expect(ids(old, 7_000)).toEqual(['a', 'b', 'c']);
    expect(ids(old, 9_700)).toEqual([]);
    limitMs = 1_000;
    expect(ids(fresh, 900)).toEqual(['d', 'e', 'f']);
    limitMs = 8_000;
  });
});
