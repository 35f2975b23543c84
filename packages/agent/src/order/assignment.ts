/** Assignment of models to targets. Every agent computes the same result from the document and the list of targets. */
import type { Model } from '@jasmineroute/document';
import { hashOf } from '@jasmineroute/routing';

interface Pair {
  readonly model: Model;
  readonly target: string;
  readonly score: bigint;
}

/**
 * Number of targets for each model in proportion to its share, rounded by the largest remainder method, at least
 * one. When there are more models than targets, a target gets several.
 */
export function quotas(models: readonly Model[], targets: number): Map<string, number> {
  const sum = models.reduce((total, { share }) => total + share, 0);
  const exact = models.map(({ name, share }) => ({ name, value: (share / sum) * targets }));
  const counts = new Map(exact.map(({ name, value }) => [name, Math.max(1, Math.floor(value))]));
  let remaining = targets - [...counts.values()].reduce((total, count) => total + count, 0);
  const byRemainder = [...exact].sort((a, b) => (b.value % 1) - (a.value % 1));
  for (const { name } of byRemainder) {
    if (remaining <= 0) break;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    remaining--;
  }
  for (const { name } of [...exact].sort((a, b) => b.value - a.value)) {
    while (remaining < 0 && (counts.get(name) ?? 0) > 1) {
      counts.set(name, (counts.get(name) ?? 0) - 1);
      remaining++;
    }
  }
  return counts;
}

function pairsByScore(models: readonly Model[], targets: readonly string[]): Pair[] {
  const pairs = models.flatMap((model) =>
    targets.map((target) => ({ model, target, score: hashOf(`${model.name}\n${target}`) })),
  );
  return pairs.sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1));
}

/**
 * Models by target. Rendezvous hashing under quotas: adding or removing a target moves few others, and agents
 * need no coordination.
 */
export function assign(models: readonly Model[], targets: readonly string[]): Map<string, Model[]> {
  const remaining = quotas(models, targets.length);
  const assigned = new Map<string, Model[]>(targets.map((target) => [target, []]));
  const pairs = pairsByScore(models, targets);
  const maxPerTarget = Math.ceil(models.length / Math.max(1, targets.length));
  // One model per target and pass, so that no target gets a second model while another has none.
  for (let perTarget = 1; perTarget <= maxPerTarget; perTarget++) {
    for (const { model, target } of pairs) {
      const held = assigned.get(target) ?? [];
      const quota = remaining.get(model.name) ?? 0;
      if (held.length >= perTarget || quota === 0) continue;
      held.push(model);
      remaining.set(model.name, quota - 1);
    }
  }
  return assigned;
}
