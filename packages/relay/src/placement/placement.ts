/** Chooses the target of a request. */
import type { Route } from '@jasmineroute/configuration';
import type { Random } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import type { TargetSights } from '../target/index.js';
import { UNKNOWN_PARTS, homeOf, lackOf } from './lack.js';
import type { Lack, PartsPlace, PartsView } from './lack.js';

/** What each request costs that a target has already, tokens: it lengthens each step and holds a place. */
const REQUEST_TOKENS = 200;

/** Costs that differ by less are taken for equal, and drawn, tokens: entries that know the same must not all choose one. */
const EVEN_TOKENS = 150;

/** Most that one target is taken to be slower than another: more is a fault, which other signs show. */
const MOST_SLOWNESS = 3;

/**
 * Part of an engine's places from which on it takes no more requests, for the most urgent and for others: beyond it they
 * wait for a place, and hold up all that come after.
 */
const FULL_URGENT = 0.85;
const FULL = 0.75;

/**
 * Part of its objective that a prompt may wait behind others to be read, for the most urgent and for others. What is sent
 * into a longer queue is late, and so is all that comes behind it; what is refused leaves the queue to what can be in time,
 * and comes back. Only the wait behind others counts, not the prompt's own size: a large one is not refused where a small
 * one is sent.
 */
const QUEUE_URGENT = 0.8;
const QUEUE = 0.5;

/** Load that a target in another data centre seems to have more: the way there is short beside a request. */
const DISTANCE_LOAD = 0.05;

/** Load differences below this are taken for equal, and drawn. */
const EVEN = 0.02;

/** What a choice is made from. */
export interface PlacementInput {
  readonly service: string;
  readonly candidates: readonly Target[];
  readonly prompt?: PromptOutline;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Text that keeps caches of customers apart. */
  readonly salt: string;
  /** Time within which its first token should come, milliseconds. */
  readonly objectiveMs: number;
  /** Where the shared parts are, as seen from a target. */
  readonly partsAt?: (target: Target) => PartsView;
}

/** What was chosen and why, for the log. */
export interface Placement {
  readonly target: Target;
  /** How it was chosen. */
  readonly reason: 'home' | 'elsewhere' | 'least-work' | 'least-loaded';
  readonly candidates: number;
  /** Tokens of this request's prompt that are to be read there. */
  readonly tokens: number;
  /** Tokens that it fetches from a store. */
  readonly fetched?: number;
  /** Tokens of prompts that wait there already, and how much slower than the fastest the target is. */
  readonly waiting?: number;
  readonly slowness?: number;
  readonly partsPlace?: PartsPlace;
  /** When its first token will come, as it seems, and how long it waits behind others, milliseconds. */
  readonly expectedMs?: number;
  readonly queueMs?: number;
  /** Requests that it probably has. */
  readonly load: number;
  /** Age of the told load, milliseconds. */
  readonly loadAgeMs?: number;
}

/** What a target costs a prompt. */
interface Cost {
  readonly target: Target;
  readonly lack: Lack;
  readonly waiting: number;
  readonly slowness: number;
  /** All of it, in tokens of the fastest target. */
  readonly total: number;
}

/** Draws a service of a route by weight. */
export function drawService({ services }: Route, random: Random): string {
  const sum = services.reduce((total, { weight }) => total + weight, 0);
  let left = random() * sum;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.findLast(({ weight }) => weight > 0)?.service ?? '';
}

/** Chooses targets for one entry. */
export class Placements {
  constructor(
    private readonly sights: TargetSights,
    private readonly dataCentre: string,
    private readonly random: Random,
  ) {}

  /** Whether a prompt is better refused than sent where it was placed: it would be late, and make others late. */
  isOverrun(
    { candidates, prompt, priority, objectiveMs }: PlacementInput,
    { queueMs = 0 }: Placement,
  ): boolean {
    if (prompt === undefined || candidates.length === 0) return false;
    const isUrgent = priority === 0;
    const taken = candidates.map(({ id, capacity }) => this.sights.requestsAt(id) / Math.max(1, capacity));
    if (taken.every((one) => one >= (isUrgent ? FULL_URGENT : FULL))) return true;
    return queueMs > objectiveMs * (isUrgent ? QUEUE_URGENT : QUEUE);
  }

  /** The target for a request; undefined when there is none. */
  choose(input: PlacementInput): Placement | undefined {
    const { candidates } = input;
    const healthy = candidates.filter(({ id }) => !this.sights.isAvoided(id));
    const usable = healthy.length > 0 ? healthy : candidates;
    if (usable.length === 0) return undefined;
    return input.prompt === undefined
      ? this.leastLoaded(usable)
      : this.leastWork(input, input.prompt, usable);
  }

  /**
   * The target that would have read the prompt first. Requests differ by a hundred times in what there is to read, so
   * their number says little: a target that has just loaded weights, without requests and with an empty cache, would get all
   * that come in a second.
   */
  private leastWork(input: PlacementInput, prompt: PromptOutline, usable: readonly Target[]): Placement {
    const home = homeOf(prompt, input.salt, usable);
    const fastest = Math.min(
      ...usable.map(({ id }) => this.sights.pace.pauseOf(id) ?? Number.POSITIVE_INFINITY),
    );
    const costs = usable.map((target) => {
      const view = input.partsAt?.(target) ?? UNKNOWN_PARTS;
      return this.costOf(target, lackOf(prompt, view, target === home), fastest);
    });
    const least = Math.min(...costs.map(({ total }) => total));
    const near = costs.filter(({ total }) => total <= least + EVEN_TOKENS);
    const drawn = near.find(({ target }) => target === home) ?? near[Math.floor(this.random() * near.length)];
    if (drawn === undefined) throw new Error('no candidate');
    const { target, lack, waiting, slowness } = drawn;
    const { place, tokens, fetched, fetchMs } = lack;
    const reason = home === undefined ? 'least-work' : target === home ? 'home' : 'elsewhere';
    const model = this.sights.firstTokens(input.service);
    const expectedMs = Math.round(model.predict(target.id, waiting + tokens) + fetchMs);
    const queueMs = Math.round(waiting * model.tokenMs(target.id));
    const placed = this.placed(target, reason, usable.length);
    return { ...placed, partsPlace: place, tokens, fetched, waiting, slowness, expectedMs, queueMs };
  }

  private costOf(target: Target, lack: Lack, fastestMs: number): Cost {
    const waiting = this.sights.backlog.tokensAt(target.id);
    const pauseMs = this.sights.pace.pauseOf(target.id) ?? fastestMs;
    const slowness = Number.isFinite(pauseMs) ? Math.min(MOST_SLOWNESS, pauseMs / fastestMs) : 1;
    const requests = this.sights.requestsAt(target.id) * REQUEST_TOKENS;
    const total = (waiting + lack.tokens + requests) * slowness + lack.penalty;
    return { target, lack, waiting, slowness, total };
  }

  private leastLoaded(usable: readonly Target[]): Placement {
    const costs = usable.map((target) => this.cost(target));
    const least = Math.min(...costs);
    const near = usable.filter((_target, index) => (costs[index] ?? least) <= least + EVEN);
    const target = near[Math.floor(this.random() * near.length)] ?? usable[0];
    if (target === undefined) throw new Error('no candidate');
    return this.placed(target, 'least-loaded', usable.length);
  }

  /** Requests for each place, with a little for distance. */
  private cost({ id, capacity, dataCentre }: Target): number {
    const distance = dataCentre === this.dataCentre ? 0 : DISTANCE_LOAD;
    return this.sights.requestsAt(id) / Math.max(1, capacity) + distance;
  }

  private placed(target: Target, reason: Placement['reason'], candidates: number): Placement {
    const load = Math.round(this.sights.requestsAt(target.id) * 10) / 10;
    return { target, reason, candidates, tokens: 0, load, loadAgeMs: this.sights.ageOf(target.id) };
  }
}
