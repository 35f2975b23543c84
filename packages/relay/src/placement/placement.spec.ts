import { ManualClock, silentLog } from '@jasmineroute/core';
import { Knowledge } from '@jasmineroute/knowledge';
import type { Target } from '@jasmineroute/knowledge';
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import { createRandom } from '@jasmineroute/routing';
import { beforeEach, describe, expect, it } from 'vitest';
import { TargetSights } from '../target/index.js';
import { Placements, drawService } from './placement.js';
import type { Placement, PlacementInput } from './placement.js';
import type { PartsPlace } from './lack.js';
import { withWeights } from './weights.js';

const target = (id: string, version = 1, dataCentre = 'here'): Target => ({
  id,
  name: id,
  service: 's',
  address: `${id}:1`,
  dataCentre,
  capacity: 4,
  weights: new Map([['m', version]]),
  paused: false,
});

const targets = ['a', 'b', 'c', 'd', 'e'].map((id) => target(id));

describe('placement', () => {
  let clock: ManualClock;
  let sights: TargetSights;
  let placements: Placements;

  beforeEach(() => {
    clock = new ManualClock();
    sights = new TargetSights(clock);
    placements = new Placements(sights, 'here', createRandom(1));
  });

  const choose = (
    candidates: readonly Target[],
    change: Partial<PlacementInput> = {},
  ): Placement | undefined =>
    placements.choose({ service: 's', candidates, priority: 1, salt: '', objectiveMs: 400, ...change });

  const prompt = (shared: string, own: string, tokens = 1_000) => ({
    model: 'm',
    parts: [shared, own].map((id) => ({ id, tokens })),
    promptTokens: 2 * tokens,
    maxOutputTokens: 10,
  });

  const home = (shared: string, own = 'own'): string | undefined =>
    choose(targets, { prompt: prompt(shared, own) })?.target.id;

  it('keeps prompts with one shared part together, and others apart', () => {
    const homes = new Set(Array.from({ length: 20 }, (_, at) => home('one', `own-${at}`)));
    expect(homes.size).toBe(1);
    expect(new Set(Array.from({ length: 60 }, (_, at) => home(`part-${at}`))).size).toBe(5);
  });

  it('gives a short prompt no home', () => {
    const drawn = new Set(
      Array.from({ length: 40 }, () => {
        const short = prompt('short', 'own', 100);
        return choose(targets, { prompt: short })?.target.id;
      }),
    );
    expect(drawn.size).toBeGreaterThan(1);
  });

  it('leaves a home that has much to read, and comes back', () => {
    // Symptom: a hot prompt's requests wait at one target while others idle.
    // Sequence: many requests with one shared part come at once.
    // Cause: its home took them however much it had to read.
    const first = home('hot') ?? '';
    const open = Array.from({ length: 12 }, () => sights.began(first, 1_000));
    expect(home('hot')).not.toBe(first);
    for (const one of open) one.ended();
    expect(home('hot')).toBe(first);
  });

  it('counts what there is to read, not requests', () => {
    // Symptom: first tokens come after a second and more at some targets, while others idle.
    // Sequence: prompts of 200 to 18,000 tokens; a target that has just loaded weights has no requests, and gets all
    // that come; each is read whole there, as its cache is empty.
    // Cause: the target with the fewest requests was taken for the one with the least work.
    const [a, b] = [target('a'), target('b')];
    const chosen = () => choose([a, b], { prompt: prompt('short', 'own', 400) })?.target.id;
    sights.began('a', 18_000);
    for (let n = 0; n < 3; n += 1) sights.began('b', 300);
    expect(chosen()).toBe('b');
    sights.backlog.told('e2', [{ targetId: 'b', tokens: 40_000 }]);
    expect(chosen()).toBe('a');
  });

  it('goes where the shared parts are, and reads them at home when they are nowhere', () => {
    // Symptom: shared parts are read again or fetched, though some target has them; the store's link is full.
    // Sequence: caches turn over in two seconds; a home has a third of its parts, other targets have some of them.
    // Cause: a home was taken to have what it once read.
    const candidates = [target('new', 2), target('old', 1)];
    const chosen = (place: (one: Target) => PartsPlace) =>
      Array.from({ length: 20 }, (_, at) =>
        choose(candidates, {
          prompt: prompt(`part-${at}`, 'own', 4_000),
          partsAt: (one) => ({ place: place(one), cachedTokens: 0 }),
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

  it('gives a slower target less', () => {
    for (let n = 0; n < 60; n += 1) {
      sights.pace.paused('a', 26);
      sights.pace.paused('b', 34);
    }
    const chosen = () => choose([target('a'), target('b')], { prompt: prompt('short', 'own', 400) });
    sights.began('a', 4_000);
    sights.began('b', 4_000);
    expect(chosen()?.target.id).toBe('a');
    sights.began('a', 4_000);
    expect(chosen()?.target.id).toBe('b');
    expect(chosen()?.slowness).toBeCloseTo(34 / 26, 1);
  });

  it('forgets the work of an entry that tells nothing any more, and what was read', async () => {
    sights.backlog.told('e2', [{ targetId: 'a', tokens: 500 }]);
    const open = sights.began('a', 300);
    expect(sights.backlog.tokensAt('a')).toBe(800);
    open.read();
    expect(sights.backlog.ownWork()).toEqual([]);
    await clock.advance(1_000);
    expect(sights.backlog.tokensAt('a')).toBe(0);
    open.ended();
    expect(sights.backlog.tokensAt('a')).toBe(0);
  });

  it('leaves a target alone that refuses, for longer each time, until it serves', async () => {
    // Symptom: most requests of some seconds are refused, while other targets have room.
    // Sequence: an order to load weights was given up, and is carried out seconds later; the target refuses all at once.
    // Cause: a target that refuses has no work, and the one with the least work gets the next request.
    const chosen = (): string | undefined =>
      choose([target('a'), target('b')], { prompt: prompt('short', 'own', 400) })?.target.id;
    sights.began('b', 30_000);
    expect(chosen()).toBe('a');
    for (let n = 0; n < 5; n += 1) sights.refused('a');
    expect(chosen()).toBe('b');
    await clock.advance(250);
    expect(chosen()).toBe('a');
    sights.refused('a');
    await clock.advance(499);
    expect(chosen()).toBe('b');
    await clock.advance(1);
    sights.succeeded('a');
    sights.refused('a');
    await clock.advance(250);
    expect(chosen()).toBe('a');
  });

  it('takes the least loaded for requests without a prompt, the nearest of equals', () => {
    const far = targets.map(({ id }) => target(id, 1, 'there'));
    const near = target('near');
    const candidates = [...far, near];
    expect(choose(candidates)?.target.id).toBe('near');
    sights.told('near', { running: 3, waiting: 0 });
    expect(choose(candidates)?.target.id).not.toBe('near');
  });

  it('forgets told load with its age', async () => {
    sights.told('a', { running: 4, waiting: 0 });
    expect(sights.requestsAt('a')).toBe(4);
    await clock.advance(1_000);
    expect(sights.requestsAt('a')).toBe(2);
    await clock.advance(2_000);
    expect(sights.requestsAt('a')).toBe(0);
  });

  it('finds a service overrun when each engine has as many requests as are in time, later for urgent ones', () => {
    // Symptom: under a burst, nine of ten requests are late, though engines serve as many as they can.
    // Sequence: more come than places; each engine queues them; all of them wait, the newest and the oldest.
    // Cause: everything is taken in as long as a target does not refuse it.
    const isOverrun = (priority: number, hasPrompt = true): boolean => {
      const own = hasPrompt ? prompt('one', 'own') : undefined;
      const input = { service: 's', candidates: targets, prompt: own, priority, salt: '', objectiveMs: 1e6 };
      const placement = placements.choose(input);
      if (placement === undefined) throw new Error('no target');
      return placements.isOverrun(input, placement);
    };
    const fill = (running: number): void => {
      for (const { id } of targets) sights.told(id, { running, waiting: 0 });
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

  it('finds a service overrun when prompts would wait too long behind others, whatever their own size', () => {
    // Symptom: after new weights nearly all first tokens are late for seconds, with a fifth of the places taken.
    // Sequence: all caches are empty; prompts of 9,000 tokens come faster than they are read; each waits behind all.
    // Cause: requests that could not be in time any more were sent, and made the next ones late.
    const isOverrun = (priority: number, tokens: number): boolean => {
      const own = prompt('one', 'own', tokens);
      const input = { service: 's', candidates: targets, prompt: own, priority, salt: '', objectiveMs: 300 };
      const placement = placements.choose(input);
      if (placement === undefined) throw new Error('no target');
      return placements.isOverrun(input, placement);
    };
    const wait = (tokens: number): void => {
      for (const { id } of targets) sights.began(id, tokens);
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

  it('expects a first token by what came before, and by the wait for what is fetched', async () => {
    for (let n = 0; n < 200; n += 1) {
      const tokens = 1_000 + (n % 10) * 3_000;
      const open = sights.began('a', tokens, undefined, 's');
      await clock.advance(30 + tokens * 0.02);
      open.read();
      open.ended();
    }
    const expected = (fetchMs: number): number | undefined =>
      choose([target('a')], {
        prompt: prompt('one', 'own', 4_000),
        partsAt: () => ({ place: 'store', cachedTokens: 0, fetchMs }),
      })?.expectedMs;
    expect(Math.abs((expected(0) ?? 0) - 110)).toBeLessThan(10);
    expect((expected(250) ?? 0) - (expected(0) ?? 0)).toBe(250);
  });

  it('avoids a target that failed, for longer with each failure, and uses it when all have', async () => {
    sights.failed('a');
    expect(sights.isAvoided('a')).toBe(true);
    await clock.advance(250);
    expect(sights.isAvoided('a')).toBe(false);
    sights.failed('a');
    await clock.advance(250);
    expect(sights.isAvoided('a')).toBe(true);
    const only = [target('a')];
    expect(choose(only)?.target.id).toBe('a');
  });

  it('avoids a target that has gone quiet while it has requests', async () => {
    // Symptom: requests hang until their deadline, one after the other.
    // Sequence: a target's host goes dark; its connections stay open; heartbeats are missed seconds later.
    // Cause: nothing but an error or a missed heartbeat counted against a target.
    const open = sights.began('a');
    await clock.advance(800);
    expect(sights.isAvoided('a')).toBe(false);
    await clock.advance(1);
    expect(sights.isAvoided('a')).toBe(true);
    sights.heard('a');
    expect(sights.isAvoided('a')).toBe(false);
    await clock.advance(900);
    open.ended();
    expect(sights.isAvoided('a')).toBe(false);
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
  const knowledge = new Knowledge(clock, silentLog);
  const event = create(controlMessage.FollowEventSchema, {
    weights: [{ model: 'm', version: 2n, ageMs: 0 }],
  });
  knowledge.apply('c1', event, true);
  const wish = { model: 'm', resumable: false, moving: false };
  let limitMs = 8_000;
  const ids = (candidates: readonly Target[], now: number, change = {}): string[] =>
    withWeights(candidates, { ...wish, ...change }, knowledge, now, limitMs).map(({ id }) => id);
  const old = [target('a'), target('b'), target('c')];
  const fresh = [target('d', 2), target('e', 2), target('f', 2)];

  it('are all used at first', () => {
    expect(ids([...old, ...fresh], 500)).toHaveLength(6);
  });

  it('are left out with old weights once enough have the new ones', () => {
    expect(ids([...old, ...fresh], 1_500)).toEqual(['d', 'e', 'f']);
    expect(ids([...old, target('d', 2)], 1_500)).toHaveLength(4);
  });

  it('are left out with old weights for a stream that moves, as soon as any has the new ones', () => {
    const moving = { resumable: true, moving: true };
    expect(ids([...old, target('d', 2)], 100, moving)).toEqual(['d']);
  });

  it('get long streams only when they have loaded or load last', () => {
    // Symptom: a target that is to load takes no work for seconds.
    // Sequence: streams leave the first targets that load; those that took them load next, and wait for their end.
    // Cause: moved streams went to targets in any order, and may not move a second time.
    expect(ids(old, 100, { resumable: true })).toEqual(['b', 'c']);
    expect(ids([...old, target('d', 2)], 100, { resumable: true })).toEqual(['d', 'b', 'c']);
    expect(ids(old, 100, { resumable: true, moving: true })).toEqual(['b', 'c']);
    expect(ids([target('a')], 100, { resumable: true })).toEqual(['a']);
  });

  it('serve nothing on weights that were replaced too long ago', () => {
    // Symptom: requests begin on old weights longer than is agreed.
    // Sequence: a rollout is held up; entries go on with the targets that are behind.
    // Cause: old weights were better than a refusal, however old.
    expect(ids(old, 7_000)).toEqual([]);
    expect(ids([...old, target('d', 2)], 7_000)).toEqual(['d']);
  });

  it('serve as long as is agreed, however long that is', () => {
    // Symptom: after new weights all requests go to the two targets that have them, and nearly all are late.
    // Sequence: a rollout takes 9 s where 12 s are agreed; from 6.5 s on the others get nothing.
    // Cause: what is agreed on one deployment was taken for all.
    limitMs = 12_000;
    expect(ids(old, 7_000)).toEqual(['a', 'b', 'c']);
    expect(ids(old, 9_700)).toEqual([]);
    limitMs = 1_000;
    expect(ids(fresh, 900)).toEqual(['d', 'e', 'f']);
    limitMs = 8_000;
  });
});
