/** Guard against evicting many members for a fault of the observer. */
import type { Member } from './member.js';
import type { DetectorSettings } from './settings.js';

/**
 * Holds members as suspect when many fall silent at one time.
 *
 * An observer whose own network is cut hears nobody; so does one behind a switch that fails for some seconds.
 * Evicting all members then would leave callers without a target while every target works. It shows as a
 * large share of members that fall silent within one window. They are held as suspect, and evicted only after
 * a hold in which somebody else was heard, which shows that this observer hears.
 */
export class MassGuard {
  /** Observer's times of the latest evictions for silence. */
  private evictions: number[] = [];

  constructor(private readonly settings: DetectorSettings) {}

  /**
   * Whether `silent` may go down now.
   * @param silent members that would go down for silence alone
   * @param watched members that count for the share
   * @param lastHeard observer's time of the last beat of anybody
   */
  admit(silent: readonly Member[], watched: number, lastHeard: number, now: number): Member[] {
    const { massWindowMs, massMinimum, massShare } = this.settings;
    this.evictions = this.evictions.filter((at) => now - at < massWindowMs);
    const atOnce = silent.length + this.evictions.length;
    const mass = atOnce > Math.max(massMinimum, massShare * (watched + this.evictions.length));
    const admitted = silent.filter((member) => {
      if (mass) member.heldAt ??= now;
      return member.heldAt === undefined || this.heldEnough(member.heldAt, lastHeard, now);
    });
    for (const member of admitted) if (member.heldAt === undefined) this.evictions.push(now);
    return admitted;
  }

  private heldEnough(heldAt: number, lastHeard: number, now: number): boolean {
    return now - heldAt > this.settings.massHoldMs && now - lastHeard <= this.settings.suspectAfterMs;
  }
}
