/** Keeps requests apart that were running where targets crashed, so that the next crash shows which of them is its cause. */
import type { Target } from '@jasmineroute/knowledge';

/** Suspects that this entry has sent to targets. */
export class SuspectRuns {
  /** Number of suspects at a target, by its id. */
  private readonly running = new Map<string, number>();

  /** Records that a suspect is sent to a target. @returns a function that records its end. */
  begin(targetId: string): () => void {
    this.change(targetId, 1);
    return () => {
      this.change(targetId, -1);
    };
  }

  /** The targets that a suspect may go to: of those that are not avoided, the ones with the fewest suspects. */
  targetsFor(candidates: readonly Target[], isAvoided: (id: string) => boolean): Target[] {
    const healthy = candidates.filter(({ id }) => !isAvoided(id));
    const usable = healthy.length > 0 ? healthy : candidates;
    const suspectsAt = ({ id }: Target): number => this.running.get(id) ?? 0;
    const fewest = Math.min(...usable.map(suspectsAt));
    return usable.filter((target) => suspectsAt(target) === fewest);
  }

  private change(targetId: string, by: number): void {
    const count = (this.running.get(targetId) ?? 0) + by;
    if (count > 0) this.running.set(targetId, count);
    else this.running.delete(targetId);
  }
}
