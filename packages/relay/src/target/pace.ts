/** How fast targets make tokens, as the pauses between events show it. */

/**
 * Weights of a new pause that is shorter, or longer, than the one noted so far. The shorter counts ten times as much, so
 * that what is noted is near the pause without prompts being read in between: the speed of a target.
 */
const SHORTER_WEIGHT = 0.2;
const LONGER_WEIGHT = 0.02;

/** Pauses below this are of events that came together, milliseconds. */
const LEAST_PAUSE_MS = 5;

/** Pauses after which a target's pace is believed. */
const ENOUGH_PAUSES = 30;

interface Noted {
  pauseMs: number;
  count: number;
}

/** Pauses by target id. */
export class Pace {
  private readonly noted = new Map<string, Noted>();

  /** Two events of a stream came so long after each other. */
  paused(id: string, pauseMs: number): void {
    if (pauseMs < LEAST_PAUSE_MS) return;
    const noted = this.noted.get(id) ?? { pauseMs, count: 0 };
    this.noted.set(id, noted);
    const weight = pauseMs < noted.pauseMs ? SHORTER_WEIGHT : LONGER_WEIGHT;
    noted.pauseMs += (pauseMs - noted.pauseMs) * weight;
    noted.count += 1;
  }

  /** Pause between a target's events while it reads no prompts, milliseconds; undefined: too few were seen. */
  pauseOf(id: string): number | undefined {
    const noted = this.noted.get(id);
    return noted === undefined || noted.count < ENOUGH_PAUSES ? undefined : noted.pauseMs;
  }

  /** Forgets targets that are gone. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of this.noted.keys()) if (!ids.has(id)) this.noted.delete(id);
  }
}
