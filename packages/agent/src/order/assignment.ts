/** Which models a target is to have: computed alike by every agent from the document and the targets. */
import type { Model } from '@jasmineroute/document';
import { hashOf } from '@jasmineroute/routing';

interface Pair {
  readonly model: Model;
  readonly target: string;
  readonly score: bigint;
}

/**
 * Targets for each model, by its share: rounded by the largest remainder, and never none. When there are
 * more models than targets, a target gets several.
 */
export function quotas(models: readonly Model[], targets: number): Map<string, number> {
  const sum = models.reduce((total, { share }) => total + share, 0);
  const exact = models.map(({ name, share }) => ({ name, value: (share / sum) * targets }));
  const counts = new Map(exact.map(({ name, value }) => [name, Math.max(1, Math.floor(value))]));
  let left = targets - [...counts.values()].reduce((total, count) => total + count, 0);
  const byRemainder = [...exact].sort((a, b) => (b.value % 1) - (a.value % 1));
  for (const { name } of byRemainder) {
    if (left <= 0) break;
    counts.set(name, (counts.get(name) ?? 0) + 1);
    left--;
  }
  for (const { name } of [...exact].sort((a, b) => b.value - a.value)) {
    while (left < 0 && (counts.get(name) ?? 0) > 1) {
      counts.set(name, (counts.get(name) ?? 0) - 1);
      left++;
    }
  }
  return counts;
}

function pairsOf(models: readonly Model[], targets: readonly string[]): Pair[] {
  const pairs = models.flatMap((model) =>
    targets.map((target) => ({ model, target, score: hashOf(`${model.name}\n${target}`) })),
  );
  return pairs.sort((a, b) => (a.score === b.score ? 0 : a.score > b.score ? -1 : 1));
}

/**
 * Models by target. Rendezvous hashing under quotas: a target that comes or goes moves few others, and no
 * instance has to be asked.
 */
export function assign(models: readonly Model[], targets: readonly string[]): Map<string, Model[]> {
  const left = quotas(models, targets.length);
  const assigned = new Map<string, Model[]>(targets.map((target) => [target, []]));
  const pairs = pairsOf(models, targets);
  const most = Math.ceil(models.length / Math.max(1, targets.length));
  // Round by round, so that no target gets a second model while another has none.
  for (let room = 1; room <= most; room++) {
    for (const { model, target } of pairs) {
      const held = assigned.get(target) ?? [];
      const quota = left.get(model.name) ?? 0;
      if (held.length >= room || quota === 0) continue;
      held.push(model);
      left.set(model.name, quota - 1);
    }
  }
  return assigned;
}
