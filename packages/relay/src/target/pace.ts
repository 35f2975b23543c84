/** Estimates the speed of targets from the pauses between events. */

/**
 * Weights of a new pause that is shorter, or longer, than the average so far. Shorter pauses count ten times as much,
 * which keeps the average near the pause without prompts being read in between: the speed of the target.
 */
const DECREASE_WEIGHT = 0.2;
const INCREASE_WEIGHT = 0.02;

/** Shorter pauses are between events that were sent together, milliseconds. */
const MIN_PAUSE_MS = 5;

/** Number of pauses from which on the average is reliable. */
const MIN_SAMPLES = 30;

interface PauseAverage {
  pauseMs: number;
  count: number;
}

/** Pauses by target id. */
export class Pace {
  private readonly averages = new Map<string, PauseAverage>();

  /** Records the pause between two events of a stream. */
  recordPause(id: string, pauseMs: number): void {
    if (pauseMs < MIN_PAUSE_MS) return;
    const average = this.averages.get(id) ?? { pauseMs, count: 0 };
    this.averages.set(id, average);
    const weight = pauseMs < average.pauseMs ? DECREASE_WEIGHT : INCREASE_WEIGHT;
    average.pauseMs += (pauseMs - average.pauseMs) * weight;
    average.count += 1;
  }

  /** Pause between a target's events while it reads no prompts, milliseconds; undefined if too few were recorded. */
  pauseOf(id: string): number | undefined {
    const average = this.averages.get(id);
    return average === undefined || average.count < MIN_SAMPLES ? undefined : average.pauseMs;
  }

  /** Drops the averages of all targets that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.averages.keys()) if (!ids.has(id)) this.averages.delete(id);
  }
}
