/** Which targets may serve a model while its weights are being replaced. */
import type { NamedVersion, Target } from '@jasmineroute/knowledge';

/**
 * Time after a naming from which on older weights are avoided, milliseconds. Callers lose a part of an answer's worth
 * from 1.5 s on; half a second less leaves room for what waits at a target.
 */
const PREFER_MS = 1_000;

/**
 * Time after a naming from which on older weights serve nothing, milliseconds: 8 s are agreed, and a request may wait
 * at a target before it begins.
 */
const REFUSE_MS = 7_000;

/** Part of the targets that must have the newest weights before the others are left out: fewer would be overrun. */
const ENOUGH = 0.5;

/** Candidates for a request of a model; `now` is monotonic time. */
export function withWeights(
  candidates: readonly Target[],
  model: string | undefined,
  named: NamedVersion | undefined,
  now: number,
): readonly Target[] {
  if (model === undefined || named === undefined) return candidates;
  const newest = candidates.filter(({ weights }) => (weights.get(model) ?? 0) >= named.version);
  const age = now - named.namedAt;
  if (age >= REFUSE_MS) return newest;
  const isEnough = newest.length > 0 && newest.length >= candidates.length * ENOUGH;
  return age >= PREFER_MS && isEnough ? newest : candidates;
}
