/** Chooses the target of a request. */
import type { Route } from '@jasmineroute/configuration';
import { homesOf } from '@jasmineroute/routing';
import type { Random } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import type { TargetSights } from '../target/index.js';

/**
 * A home of a prompt is passed over once it has this many times the mean load of the service, and this many requests
 * more: the bound of consistent hashing with bounded loads, where 1.25 to 2 is usual. A target elsewhere fetches the
 * shared parts from the store in some ms, so a home is worth little waiting.
 */
const LOAD_FACTOR = 1.25;
const LOAD_SLACK = 1;

/**
 * Shared tokens from which on a prompt has a home. Reading 1,000 tokens takes a server 9 ms; less than that is worth no
 * unevenness, and an idle server reads it sooner.
 */
const HOME_TOKENS = 1_000;

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

/** What a choice is made from. */
export interface PlacementInput {
  readonly service: string;
  readonly candidates: readonly Target[];
  readonly prompt?: PromptOutline;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Text that keeps caches of customers and weights apart. */
  readonly salt: string;
}

/** What was chosen and why, for the log. */
export interface Placement {
  readonly target: Target;
  /** How it was chosen. */
  readonly reason: 'home' | 'spill' | 'least-loaded';
  readonly candidates: number;
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

/** The longest part of a prompt that other requests share, when that is worth a home: the last one is its own. */
function sharedPart({ model, parts }: PromptOutline, salt: string): string | undefined {
  const part = parts.length < 2 ? undefined : parts.at(-2);
  const shared = parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  return part === undefined || shared < HOME_TOKENS ? undefined : `${salt} ${model} ${part.id}`;
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
    const key = input.prompt === undefined ? undefined : sharedPart(input.prompt, input.salt);
    return key === undefined ? this.leastLoaded(usable) : this.home(key, usable);
  }

  /** The first home of a prompt that is not overloaded. */
  private home(key: string, usable: readonly Target[]): Placement {
    const named = usable.map((target) => ({ name: target.id, capacity: target.capacity, target }));
    const homes = homesOf(keyOf(key), named, named.length).map(({ target }) => target);
    const loads = usable.map(({ id }) => this.sights.requestsAt(id));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const bound = LOAD_FACTOR * mean + LOAD_SLACK;
    const position = homes.findIndex(({ id }) => this.sights.requestsAt(id) <= bound);
    const target = homes[position];
    if (target === undefined) return this.leastLoaded(usable);
    return this.placed(target, position === 0 ? 'home' : 'spill', usable.length);
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
    return { target, reason, candidates, load, loadAgeMs: this.sights.ageOf(target.id) };
  }
}
