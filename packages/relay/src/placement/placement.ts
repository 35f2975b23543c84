/** Chooses the target of a request. */
import type { Route } from '@jasmineroute/configuration';
import { homesOf } from '@jasmineroute/routing';
import type { Random } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import type { TargetSights } from '../target/index.js';

/**
 * Shared tokens from which on a prompt has a home. Reading 1,000 tokens takes a server 9 ms; less than that is worth no
 * unevenness.
 */
const HOME_TOKENS = 1_000;

/**
 * What a prompt costs at a target that fetches its shared parts, as a part of their tokens. All fetches go one after the
 * other over the store's link, 14 ms each and 28 ms between data centres (3,780 tokens of 192,512 B at 420 Gbit/s), and
 * 36 of them a second fill it. A target has a third of its parts in its own cache: under load one stays there for two
 * seconds.
 */
const FETCH_PART = 0.8;

/** The same when the shared parts must be read: what was read somewhere for these weights is better not read again. */
const READ_AGAIN_PART = 0.5;

/**
 * What each request costs that a target has already, tokens: it adds 0.0413 ms to each step of about 7 ms, and holds a
 * place.
 */
const REQUEST_TOKENS = 200;

/** Costs that differ by less are taken for equal, and drawn, tokens: entries that know the same must not all choose one. */
const EVEN_TOKENS = 150;

/** Most that one target is taken to be slower than another: more is a fault, which other signs show. */
const MOST_SLOWNESS = 3;

/**
 * Part of an engine's places from which on it takes no more requests, for the most urgent and for others. Of requests
 * that met up to 30 others on an engine of 48 places, 8 in 10 and more got their first token in 390 ms; of those that met
 * 40 or more, 1 in 10 (entries' logs under load): they wait for a place, and hold up all that come after.
 */
const FULL_URGENT = 0.85;
const FULL = 0.75;

/** Load that a target in another data centre seems to have more: one way there costs 0.9 ms, a request 40 and more. */
const DISTANCE_LOAD = 0.05;

/** Load differences below this are taken for equal, and drawn. */
const EVEN = 0.02;

/** Where a prompt's shared parts are: in the target's own cache, in a store, nowhere, or nobody tells. */
export type PartsPlace = 'here' | 'store' | 'nowhere' | 'unknown';

/** What a choice is made from. */
export interface PlacementInput {
  readonly service: string;
  readonly candidates: readonly Target[];
  readonly prompt?: PromptOutline;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Text that keeps caches of customers apart. */
  readonly salt: string;
  /** Where the shared parts are, as seen from a target. */
  readonly partsPlace?: (target: Target) => PartsPlace;
}

/** What was chosen and why, for the log. */
export interface Placement {
  readonly target: Target;
  /** How it was chosen. */
  readonly reason: 'home' | 'elsewhere' | 'least-work' | 'least-loaded';
  readonly candidates: number;
  /** Tokens of this request's prompt that are to be read there. */
  readonly tokens: number;
  /** Tokens of prompts that wait there already, and how much slower than the fastest the target is. */
  readonly waiting?: number;
  readonly slowness?: number;
  readonly parts?: PartsPlace;
  /** Requests that it probably has. */
  readonly load: number;
  /** Age of the told load, milliseconds. */
  readonly loadAgeMs?: number;
}

/** Two numbers of 32 bits from a text (FNV-1a with two offsets), as rendezvous hashing takes them. */
function keyOf(text: string): { low: number; high: number } {
  let low = 0x811c9dc5;
  let high = 0x01000193;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    low = Math.imul(low ^ code, 0x01000193);
    high = Math.imul(high ^ code, 0x85ebca6b);
  }
  return { low: low >>> 0, high: high >>> 0 };
}

/** The shared part that decides a prompt's home: the last one before its own, and the tokens up to there. */
interface SharedPart {
  readonly id: string;
  readonly tokens: number;
}

/** The shared parts of a prompt, when there are any: the last one is its own. */
function sharedPart({ parts }: PromptOutline): SharedPart | undefined {
  const last = parts.length < 2 ? undefined : parts.at(-2);
  const tokens = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  return last === undefined ? undefined : { id: last.id, tokens };
}

/** What of a prompt a target lacks. */
interface Lack {
  readonly parts: PartsPlace;
  /** Tokens that it reads. */
  readonly tokens: number;
  /** What leaving the home costs beyond that, tokens. */
  readonly penalty: number;
}

/** What a target costs a prompt. */
interface Cost {
  readonly target: Target;
  readonly parts: PartsPlace;
  /** Tokens to be read of this prompt. */
  readonly tokens: number;
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

  /** Whether all candidates for a prompt are full: it would be late at each, and make others late. */
  areFull({ candidates, prompt, priority }: PlacementInput): boolean {
    const part = priority === 0 ? FULL_URGENT : FULL;
    return (
      prompt !== undefined &&
      candidates.length > 0 &&
      candidates.every(({ id, capacity }) => this.sights.requestsAt(id) >= capacity * part)
    );
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
   * their number says little: of two targets with ten requests one had 200 tokens to read and the other 40,000, and a
   * target that had just loaded weights, without requests and with an empty cache, got all that came in a second.
   */
  private leastWork(input: PlacementInput, prompt: PromptOutline, usable: readonly Target[]): Placement {
    const shared = sharedPart(prompt);
    const home = shared === undefined ? undefined : this.homeOf(shared, input, prompt, usable);
    const fastest = Math.min(...usable.map(({ id }) => this.sights.pauseOf(id) ?? Number.POSITIVE_INFINITY));
    const costs = usable.map((target) => {
      return this.costOf(target, lackOf(target, prompt, shared, home, input), fastest);
    });
    const least = Math.min(...costs.map(({ total }) => total));
    const near = costs.filter(({ total }) => total <= least + EVEN_TOKENS);
    const drawn = near.find(({ target }) => target === home) ?? near[Math.floor(this.random() * near.length)];
    if (drawn === undefined) throw new Error('no candidate');
    const { target, parts, tokens, waiting, slowness } = drawn;
    const reason = home === undefined ? 'least-work' : target === home ? 'home' : 'elsewhere';
    return { ...this.placed(target, reason, usable.length), parts, tokens, waiting, slowness };
  }

  /** The home of a prompt that is worth one. */
  private homeOf(
    { id, tokens }: SharedPart,
    { salt }: PlacementInput,
    { model }: PromptOutline,
    usable: readonly Target[],
  ): Target | undefined {
    if (tokens < HOME_TOKENS) return undefined;
    const named = usable.map((target) => ({ name: target.id, capacity: target.capacity, target }));
    return homesOf(keyOf(`${salt} ${model} ${id}`), named, 1)[0]?.target;
  }

  private costOf(target: Target, { parts, tokens, penalty }: Lack, fastestMs: number): Cost {
    const waiting = this.sights.tokensAt(target.id);
    const pauseMs = this.sights.pauseOf(target.id) ?? fastestMs;
    const slowness = Number.isFinite(pauseMs) ? Math.min(MOST_SLOWNESS, pauseMs / fastestMs) : 1;
    const requests = this.sights.requestsAt(target.id) * REQUEST_TOKENS;
    const total = (waiting + tokens + requests) * slowness + penalty;
    return { target, parts, tokens, waiting, slowness, total };
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

/**
 * What a target lacks of a prompt, and what it costs to bring it there. While nobody tells where the parts are, the home
 * is taken to have them; where nobody has them, it is the place to read them, so that all read them in one place.
 */
function lackOf(
  target: Target,
  { promptTokens, parts }: PromptOutline,
  shared: SharedPart | undefined,
  home: Target | undefined,
  { partsPlace }: PlacementInput,
): Lack {
  const own = parts.at(-1)?.tokens ?? promptTokens;
  if (shared === undefined) return { parts: 'unknown', tokens: own, penalty: 0 };
  const place = partsPlace?.(target) ?? 'unknown';
  const isHome = target === home;
  if (place === 'here' || (place === 'unknown' && isHome)) return { parts: place, tokens: own, penalty: 0 };
  if (place === 'store') return { parts: place, tokens: own, penalty: shared.tokens * FETCH_PART };
  const penalty = isHome ? 0 : shared.tokens * READ_AGAIN_PART;
  return { parts: place, tokens: own + shared.tokens, penalty };
}
