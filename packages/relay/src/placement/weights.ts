/** Which targets may serve a model while its weights are being replaced. */
import type { Knowledge, Target } from '@jasmineroute/knowledge';

/**
 * Time after a naming from which on older weights are avoided, milliseconds. Callers lose a part of an answer's worth
 * from 1.5 s on; half a second less leaves room for what waits at a target.
 */
const PREFER_MS = 1_000;

/** Part of the agreed time from which on replaced weights serve nothing: a request may wait at a target before it begins. */
const MOST_STALE = 0.8;

/** Part of the targets that must have the newest weights before the others are left out: fewer would be overrun. */
const ENOUGH = 0.5;

/** Part of the targets with old weights that load last, by their ids. */
const LAST = 0.5;

/** A request for a model. */
export interface ModelWish {
  readonly model: string;
  /** A stream that may go on elsewhere: it tends to be long. */
  readonly resumable: boolean;
  /** It goes on elsewhere now, and may not move once more. */
  readonly moving: boolean;
}

/** How a target's weights stand. */
interface Standing {
  readonly target: Target;
  /** Time since they were replaced, milliseconds; negative: they are the newest. */
  readonly staleMs: number;
}

/**
 * Candidates for a request; `now` is monotonic time, `limitMs` the time after the naming of newer weights from which on
 * nothing may begin on older ones. Targets load in the order of their ids, and before a target loads,
 * its streams leave it or are waited for. So long streams go to targets that have loaded or load last; on one that is
 * next they would be moved, and a second time they can only be waited for, while the target takes no other work.
 */
export function withWeights(
  candidates: readonly Target[],
  wish: ModelWish | undefined,
  knowledge: Knowledge,
  now: number,
  limitMs: number,
): readonly Target[] {
  if (wish === undefined) return candidates;
  const standings = candidates.map((target) => standingOf(target, wish.model, knowledge, now));
  const usable = standings.filter(({ staleMs }) => staleMs < limitMs * MOST_STALE);
  const newest = usable.filter(({ staleMs }) => staleMs < 0);
  const old = usable.filter(({ staleMs }) => staleMs >= 0);
  if (old.length === 0) return targetsOf(usable);
  if (wish.moving && newest.length > 0) return targetsOf(newest);
  if (wish.resumable) return targetsOf([...newest, ...lastOf(old)]);
  const isLate = old.some(({ staleMs }) => staleMs >= PREFER_MS);
  return targetsOf(isLate && newest.length >= candidates.length * ENOUGH ? newest : usable);
}

function standingOf(target: Target, model: string, knowledge: Knowledge, now: number): Standing {
  const version = target.weights.get(model);
  const since = version === undefined ? undefined : knowledge.staleSince(model, version);
  return { target, staleMs: since === undefined ? -1 : now - since };
}

/** Those that load last. */
function lastOf(old: readonly Standing[]): Standing[] {
  const sorted = [...old].sort((a, b) => (a.target.id < b.target.id ? -1 : 1));
  return sorted.slice(Math.floor(sorted.length * (1 - LAST)));
}

const targetsOf = (standings: readonly Standing[]): Target[] => standings.map(({ target }) => target);
