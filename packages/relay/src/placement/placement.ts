/** Chooses the target of a request. */
import type { Route } from '@jasmineroute/configuration';
import type { Random } from '@jasmineroute/routing';
import type { PromptOutline } from '../dialect/index.js';
import type { Target } from '@jasmineroute/knowledge';
import type { TargetMonitor } from '../target/index.js';
import { UNKNOWN_AVAILABILITY, homeOf, prefillCostOf } from './prefillCost.js';
import type { PrefillCost, PartsLocation, PartsAvailability } from './prefillCost.js';

/** Cost of each open request at a target, in tokens: it lengthens every engine step and occupies a slot. */
const REQUEST_COST_TOKENS = 200;

/**
 * Costs within this many tokens count as equal, and the target is drawn at random: entries with the same information
 * must not all choose the same target.
 */
const COST_TOLERANCE_TOKENS = 150;

/** Upper limit for the speed ratio between targets: a larger ratio indicates a fault, which other signals report. */
const MAX_SLOWNESS = 3;

/**
 * Fraction of an engine's slots above which it takes no more requests, for the most urgent requests and for others.
 * Above it requests wait for a slot and delay all later ones.
 */
const MAX_OCCUPANCY_URGENT = 0.85;
const MAX_OCCUPANCY = 0.75;

/**
 * Fraction of its latency objective that a prompt may spend waiting behind others, for the most urgent requests and
 * for others. A request sent into a longer queue is late and delays everything behind it; a rejected request leaves
 * the queue to those that can be on time, and is retried. Only the wait behind others counts, not the prompt's own
 * size, so that a large prompt is not rejected where a small one is accepted.
 */
const MAX_QUEUE_RATIO_URGENT = 0.8;
const MAX_QUEUE_RATIO = 0.5;

/**
 * Load added to targets in another data centre. It is small, as the network latency is short compared with a request.
 */
const REMOTE_LOAD_PENALTY = 0.05;

/** Loads within this difference count as equal, and the target is drawn at random. */
const LOAD_TOLERANCE = 0.02;

/** Input of a placement decision. */
export interface PlacementInput {
  readonly service: string;
  readonly candidates: readonly Target[];
  readonly prompt?: PromptOutline;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Separates the cache entries of customers. */
  readonly salt: string;
  /** Latency objective for the first token, milliseconds. */
  readonly objectiveMs: number;
  /** Availability of the prompt's shared parts for a target. */
  readonly availabilityAt?: (target: Target) => PartsAvailability;
}

/** The chosen target and the reason, for the log. */
export interface Placement {
  readonly target: Target;
  /** Rule that chose the target. */
  readonly reason: 'home' | 'elsewhere' | 'least-work' | 'least-loaded';
  readonly candidates: number;
  /** Tokens of this request's prompt that the target must read. */
  readonly tokens: number;
  /** Tokens that the target fetches from a store. */
  readonly fetched?: number;
  /** Tokens of prompts already waiting at the target, and its slowness relative to the fastest target. */
  readonly waiting?: number;
  readonly slowness?: number;
  readonly partsPlace?: PartsLocation;
  /** Expected time to first token, and expected wait behind other prompts, milliseconds. */
  readonly expectedMs?: number;
  readonly queueMs?: number;
  /** Estimated number of requests at the target. */
  readonly load: number;
  /** Age of the reported load, milliseconds. */
  readonly loadAgeMs?: number;
}

/** Cost of a prompt at one target. */
interface Cost {
  readonly target: Target;
  readonly prefill: PrefillCost;
  readonly waiting: number;
  readonly slowness: number;
  /** Total cost, in tokens of the fastest target. */
  readonly total: number;
}

/** Draws one of a route's services at random, by weight. */
export function drawService({ services }: Route, random: Random): string {
  const sum = services.reduce((total, { weight }) => total + weight, 0);
  let left = random() * sum;
  for (const { service, weight } of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.findLast(({ weight }) => weight > 0)?.service ?? '';
}

/** Selects targets for the requests of one entry. */
export class TargetSelector {
  constructor(
    private readonly monitor: TargetMonitor,
    private readonly dataCentre: string,
    private readonly random: Random,
  ) {}

  /**
   * Whether to reject a prompt instead of sending it to the target that was chosen, because it would be late and
   * would delay others.
   */
  isOverloaded(
    { candidates, prompt, priority, objectiveMs }: PlacementInput,
    { queueMs = 0 }: Placement,
  ): boolean {
    if (prompt === undefined || candidates.length === 0) return false;
    const isUrgent = priority === 0;
    const occupancies = candidates.map(
      ({ id, capacity }) => this.monitor.requestsAt(id) / Math.max(1, capacity),
    );
    if (occupancies.every((one) => one >= (isUrgent ? MAX_OCCUPANCY_URGENT : MAX_OCCUPANCY))) return true;
    return queueMs > objectiveMs * (isUrgent ? MAX_QUEUE_RATIO_URGENT : MAX_QUEUE_RATIO);
  }

  /** Selects the target for a request; undefined if there is none. */
  choose(input: PlacementInput): Placement | undefined {
    const { candidates } = input;
    const healthy = candidates.filter(({ id }) => !this.monitor.isAvoided(id));
    const usable = healthy.length > 0 ? healthy : candidates;
    if (usable.length === 0) return undefined;
    return input.prompt === undefined
      ? this.leastLoaded(usable)
      : this.leastWork(input, input.prompt, usable);
  }

  /**
   * The target expected to finish reading the prompt first. Prompts differ in size by a factor of a hundred, so the
   * number of requests says little: a target that has just loaded weights has no requests and an empty cache, and
   * would get every request that arrives within a second.
   */
  private leastWork(input: PlacementInput, prompt: PromptOutline, usable: readonly Target[]): Placement {
    const home = homeOf(prompt, input.salt, usable);
    const fastest = Math.min(
      ...usable.map(({ id }) => this.monitor.pace.pauseOf(id) ?? Number.POSITIVE_INFINITY),
    );
    const costs = usable.map((target) => {
      const availability = input.availabilityAt?.(target) ?? UNKNOWN_AVAILABILITY;
      return this.costOf(target, prefillCostOf(prompt, availability, target === home), fastest);
    });
    const least = Math.min(...costs.map(({ total }) => total));
    const cheapest = costs.filter(({ total }) => total <= least + COST_TOLERANCE_TOKENS);
    const chosen =
      cheapest.find(({ target }) => target === home) ?? cheapest[Math.floor(this.random() * cheapest.length)];
    if (chosen === undefined) throw new Error('no candidate');
    const { target, prefill, waiting, slowness } = chosen;
    const { location, tokens, fetched, fetchMs } = prefill;
    const reason = home === undefined ? 'least-work' : target === home ? 'home' : 'elsewhere';
    const model = this.monitor.firstTokenModel(input.service);
    const expectedMs = Math.round(model.predict(target.id, waiting + tokens) + fetchMs);
    const queueMs = Math.round(waiting * model.tokenMs(target.id));
    const base = this.placementAt(target, reason, usable.length);
    return { ...base, partsPlace: location, tokens, fetched, waiting, slowness, expectedMs, queueMs };
  }

  private costOf(target: Target, prefill: PrefillCost, fastestMs: number): Cost {
    const waiting = this.monitor.backlog.tokensAt(target.id);
    const pauseMs = this.monitor.pace.pauseOf(target.id) ?? fastestMs;
    const slowness = Number.isFinite(pauseMs) ? Math.min(MAX_SLOWNESS, pauseMs / fastestMs) : 1;
    const requests = this.monitor.requestsAt(target.id) * REQUEST_COST_TOKENS;
    const total = (waiting + prefill.tokens + requests) * slowness + prefill.penalty;
    return { target, prefill, waiting, slowness, total };
  }

  private leastLoaded(usable: readonly Target[]): Placement {
    const loads = usable.map((target) => this.loadOf(target));
    const least = Math.min(...loads);
    const lightest = usable.filter((_target, index) => (loads[index] ?? least) <= least + LOAD_TOLERANCE);
    const target = lightest[Math.floor(this.random() * lightest.length)] ?? usable[0];
    if (target === undefined) throw new Error('no candidate');
    return this.placementAt(target, 'least-loaded', usable.length);
  }

  /** Requests per slot, plus a penalty for targets in another data centre. */
  private loadOf({ id, capacity, dataCentre }: Target): number {
    const distance = dataCentre === this.dataCentre ? 0 : REMOTE_LOAD_PENALTY;
    return this.monitor.requestsAt(id) / Math.max(1, capacity) + distance;
  }

  private placementAt(target: Target, reason: Placement['reason'], candidates: number): Placement {
    const load = Math.round(this.monitor.requestsAt(target.id) * 10) / 10;
    return { target, reason, candidates, tokens: 0, load, loadAgeMs: this.monitor.loadAgeOf(target.id) };
  }
}
