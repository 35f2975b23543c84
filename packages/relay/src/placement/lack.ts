/** What a target lacks of a prompt: where its shared parts are, and what it costs to bring them there. */
import { homesOf, textKey } from '@jasmineroute/routing';
import type { Target } from '@jasmineroute/knowledge';
import type { PromptOutline } from '../dialect/index.js';

/** Shared tokens from which on a prompt has a home: reading less than that again is worth no unevenness. */
const HOME_TOKENS = 1_000;

/**
 * What a prompt costs at a target that fetches its shared parts, as a part of their tokens: all fetches go one after the
 * other over the store's one link, and a full link delays first tokens at every target.
 */
const FETCH_PART = 0.8;

/** The same when the shared parts must be read: what was read somewhere for these weights is better not read again. */
const READ_AGAIN_PART = 0.5;

/**
 * Where a prompt's shared parts are: in the target's own cache, in a store, in a store whose link is too busy to fetch
 * them, nowhere, or nobody tells.
 */
export type PartsPlace = 'here' | 'store' | 'busy' | 'nowhere' | 'unknown';

/** A prompt's shared parts, as seen from one target. */
export interface PartsView {
  readonly place: PartsPlace;
  /** Tokens of the shared parts that the target has or can fetch, from the first one on. */
  readonly cachedTokens: number;
  /** How long a fetch from the store takes, the wait for its link included, milliseconds. */
  readonly fetchMs?: number;
}

/** Nobody tells where the parts are. */
export const UNKNOWN_PARTS: PartsView = { place: 'unknown', cachedTokens: 0 };

/** What of a prompt a target lacks. */
export interface Lack {
  readonly place: PartsPlace;
  /** Tokens that it reads. */
  readonly tokens: number;
  /** Tokens that it fetches. */
  readonly fetched: number;
  /** What bringing the rest there costs, or leaving the home, in tokens. */
  readonly penalty: number;
  /** How long it waits for what it fetches, milliseconds. */
  readonly fetchMs: number;
}

/** Tokens of the parts that a prompt shares with others: all but the last, which is its own. */
const sharedTokens = ({ parts }: PromptOutline): number =>
  parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);

/** The home of a prompt that is worth one, by the last part that it shares; `salt` keeps customers apart. */
export function homeOf(prompt: PromptOutline, salt: string, usable: readonly Target[]): Target | undefined {
  const last = prompt.parts.length < 2 ? undefined : prompt.parts.at(-2);
  if (last === undefined || sharedTokens(prompt) < HOME_TOKENS) return undefined;
  const named = usable.map((target) => ({ name: target.id, capacity: target.capacity, target }));
  return homesOf(textKey(`${salt} ${prompt.model} ${last.id}`), named, 1)[0]?.target;
}

/**
 * What a target lacks of a prompt. While nobody tells where the parts are, the home is taken to have them; where nobody
 * has them, it is the place to read them, so that all read them in one place.
 */
export function lackOf(prompt: PromptOutline, view: PartsView, isHome: boolean): Lack {
  const { place, cachedTokens, fetchMs = 0 } = view;
  const own = prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
  const shared = sharedTokens(prompt);
  if (place === 'here' || (place === 'unknown' && isHome))
    return { place, tokens: own, fetched: 0, penalty: 0, fetchMs: 0 };
  const unread = shared - cachedTokens;
  if (place === 'store')
    return { place, tokens: own, fetched: unread, penalty: shared * FETCH_PART, fetchMs };
  const penalty = isHome ? 0 : unread * READ_AGAIN_PART;
  return { place, tokens: own + unread, fetched: 0, penalty, fetchMs: 0 };
}
