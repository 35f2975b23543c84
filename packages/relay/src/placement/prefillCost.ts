/**
 * Estimates what a prompt costs at a target: the tokens it must read (prefill) and those it can fetch from a store.
 */
import { homesOf, textKey } from '@jasmineroute/routing';
import type { Target } from '@jasmineroute/knowledge';
import type { PromptOutline } from '../dialect/index.js';

/** Minimum shared tokens for a prompt to have a home target: rereading fewer tokens costs less than uneven load. */
const MIN_HOME_TOKENS = 1_000;

/**
 * Cost of fetching shared parts, as a fraction of their tokens: fetches are serialized on the store's single link,
 * and a saturated link delays first tokens at every target.
 */
const FETCH_COST_RATIO = 0.8;

/**
 * Cost of rereading shared parts away from the home target, on top of the read itself: parts that another target has
 * already read with the same weights should not be read again.
 */
const REREAD_COST_RATIO = 0.5;

/**
 * Where a prompt's shared parts are: in the target's own cache, in a store, in a store whose link is too busy to
 * fetch them, in no cache, or unknown because there is no report.
 */
export type PartsLocation = 'here' | 'store' | 'busy' | 'nowhere' | 'unknown';

/** Availability of a prompt's shared parts for one target. */
export interface PartsAvailability {
  readonly location: PartsLocation;
  /** Leading tokens of the shared parts that the target has or can fetch. */
  readonly cachedTokens: number;
  /** Duration of a fetch from the store in milliseconds, including the wait for its link. */
  readonly fetchMs?: number;
}

/** Availability when no cache has reported where the parts are. */
export const UNKNOWN_AVAILABILITY: PartsAvailability = { location: 'unknown', cachedTokens: 0 };

/** Cost of a prompt at one target. */
export interface PrefillCost {
  readonly location: PartsLocation;
  /** Tokens that the target reads. */
  readonly tokens: number;
  /** Tokens that the target fetches from a store. */
  readonly fetched: number;
  /** Additional cost, in tokens, of fetching the remaining parts or of leaving the home target. */
  readonly penalty: number;
  /** Wait for the fetch, milliseconds. */
  readonly fetchMs: number;
}

/** Tokens of the parts that a prompt shares with others: all parts but the last, which belongs to the request. */
const sharedTokensOf = ({ parts }: PromptOutline): number =>
  parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);

/**
 * The home target of a prompt: the one that rendezvous hashing assigns to its last shared part. Undefined when the
 * prompt shares too few tokens. `salt` separates customers.
 */
export function homeOf(prompt: PromptOutline, salt: string, usable: readonly Target[]): Target | undefined {
  const last = prompt.parts.length < 2 ? undefined : prompt.parts.at(-2);
  if (last === undefined || sharedTokensOf(prompt) < MIN_HOME_TOKENS) return undefined;
  const named = usable.map((target) => ({ name: target.id, capacity: target.capacity, target }));
  return homesOf(textKey(`${salt} ${prompt.model} ${last.id}`), named, 1)[0]?.target;
}

/**
 * Cost of a prompt at a target. When the location of the parts is unknown, the home target is assumed to have them.
 * When no cache has them, they are read at the home target, so that all prompts that share them read them in one
 * place.
 */
export function prefillCostOf(
  prompt: PromptOutline,
  availability: PartsAvailability,
  isHome: boolean,
): PrefillCost {
  const { location, cachedTokens, fetchMs = 0 } = availability;
  const own = prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
  const shared = sharedTokensOf(prompt);
  if (location === 'here' || (location === 'unknown' && isHome))
    return { location, tokens: own, fetched: 0, penalty: 0, fetchMs: 0 };
  const unread = shared - cachedTokens;
  if (location === 'store')
    return { location, tokens: own, fetched: unread, penalty: shared * FETCH_COST_RATIO, fetchMs };
  const penalty = isHome ? 0 : unread * REREAD_COST_RATIO;
  return { location, tokens: own + unread, fetched: 0, penalty, fetchMs: 0 };
}
