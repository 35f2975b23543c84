/** Selects the targets that may serve a model while its weights are being replaced. */
import type { ClusterView, Target } from '@jasmineroute/knowledge';

/**
 * Time after new weights are named from which targets with older weights are avoided, milliseconds. An answer loses
 * part of its value to the caller from 1.5 s on; the half second less leaves room for the queue at a target.
 */
const PREFER_NEWEST_AFTER_MS = 1_000;

/**
 * Fraction of the time limit after which targets with replaced weights get no requests: a request may still wait at a
 * target before it starts.
 */
const MAX_STALE_RATIO = 0.8;

/**
 * Fraction of the targets that must have the newest weights before the others are excluded: fewer would be
 * overloaded.
 */
const MIN_UPDATED_RATIO = 0.5;

/** Fraction of the targets with old weights that load last, by id. */
const LAST_LOADING_RATIO = 0.5;

/** A request for a model. */
export interface ModelRequest {
  readonly model: string;
  /** Whether it is a stream that another target can resume; such streams tend to be long. */
  readonly resumable: boolean;
  /** Whether the stream is moving to another target now. It can't move a second time. */
  readonly moving: boolean;
}

/** How long ago a target's weights were replaced. */
interface WeightsAge {
  readonly target: Target;
  /** Time since newer weights were named, milliseconds; negative if the target has the newest weights. */
  readonly staleMs: number;
}

/**
 * Targets that may take a request. `now` is monotonic time; `limitMs` is the time after newer weights are named from
 * which no request may start on older ones. Targets load new weights in the order of their ids, and before a target
 * loads, its streams are moved away or run to their end. Long streams therefore go to targets that have already
 * loaded or load last. On a target that loads next, a stream would have to move; once moved it can't move again, so
 * the target has to wait for its end and takes no other work meanwhile.
 */
export function eligibleByWeights(
  candidates: readonly Target[],
  request: ModelRequest | undefined,
  knowledge: ClusterView,
  now: number,
  limitMs: number,
): readonly Target[] {
  if (request === undefined) return candidates;
  const ages = candidates.map((target) => weightsAgeOf(target, request.model, knowledge, now));
  const usable = ages.filter(({ staleMs }) => staleMs < limitMs * MAX_STALE_RATIO);
  const newest = usable.filter(({ staleMs }) => staleMs < 0);
  const old = usable.filter(({ staleMs }) => staleMs >= 0);
  if (old.length === 0) return targetsOf(usable);
  if (request.moving && newest.length > 0) return targetsOf(newest);
  if (request.resumable) return targetsOf([...newest, ...lastToLoad(old)]);
  const isLate = old.some(({ staleMs }) => staleMs >= PREFER_NEWEST_AFTER_MS);
  return targetsOf(isLate && newest.length >= candidates.length * MIN_UPDATED_RATIO ? newest : usable);
}

function weightsAgeOf(target: Target, model: string, knowledge: ClusterView, now: number): WeightsAge {
  const version = target.weights.get(model);
  const since = version === undefined ? undefined : knowledge.staleSince(model, version);
  return { target, staleMs: since === undefined ? -1 : now - since };
}

/** The targets that load last. */
function lastToLoad(old: readonly WeightsAge[]): WeightsAge[] {
  const sorted = [...old].sort((a, b) => (a.target.id < b.target.id ? -1 : 1));
  return sorted.slice(Math.floor(sorted.length * (1 - LAST_LOADING_RATIO)));
}

const targetsOf = (ages: readonly WeightsAge[]): Target[] => ages.map(({ target }) => target);
