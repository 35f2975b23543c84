/** Which targets may serve a model while its weights are being replaced. */
import type { Knowledge, Target } from '@jasmineroute/knowledge';

/**
 * Time after a naming from which on older weights are avoided, milliseconds. Callers lose a part of an answer's worth
 * from 1.5 s on; half a second less leaves room for what waits at a target.
 */
const PREFER_MS = 1_000;

/**
 * Time from which on replaced weights serve nothing, milliseconds: 8 s are agreed, and a request may wait at a target
 * before it begins.
 */
const REFUSE_MS = 7_000;

/** Part of the targets that must have the newest weights before the others are left out: fewer would be overrun. */
const ENOUGH = 0.5;

/** A request for a model. */
export interface ModelWish {
  readonly model: string;
  /** A stream goes on elsewhere: it is kept off targets that have yet to load, as it may not move again. */
  readonly moving: boolean;
}

/** Candidates for a request; `now` is monotonic time. */
export function withWeights(
  candidates: readonly Target[],
  wish: ModelWish | undefined,
  knowledge: Knowledge,
  now: number,
): readonly Target[] {
  if (wish === undefined) return candidates;
  const { model, moving } = wish;
  const ageOf = ({ weights }: Target): number => {
    const version = weights.get(model);
    const since = version === undefined ? undefined : knowledge.staleSince(model, version);
    return since === undefined ? -1 : now - since;
  };
  const usable = candidates.filter((target) => ageOf(target) < REFUSE_MS);
  const newest = usable.filter((target) => ageOf(target) < 0);
  if (newest.length === 0 || newest.length === usable.length) return usable;
  if (moving) return newest;
  const isLate = usable.some((target) => ageOf(target) >= PREFER_MS);
  return isLate && newest.length >= candidates.length * ENOUGH ? newest : usable;
}
