/** Guards against the eviction of many members because of a fault of the observer. */
import type { Member } from './member.js';
import type { DetectorSettings } from './settings.js';

/**
 * Holds members as suspect when many fall silent at one time.
 *
 * An observer whose own network is cut, or that is behind a switch that fails for some seconds, receives no
 * heartbeats. Evicting all members would then leave callers without a target while every target works. Such a fault
 * shows as a large share of members that fall silent within one window. They are held as suspect, and evicted only
 * after the hold time, and while heartbeats of other members show that this observer can receive them.
 */
export class MassGuard {
  /** Observer times of the latest evictions for silence. */
  private evictions: number[] = [];

  constructor(private readonly settings: DetectorSettings) {}

  /**
   * The members of `silent` that may be set to down now.
   * @param silent members that would be set to down for silence alone
   * @param monitored number of members that count for the share
   * @param lastBeatAt observer time of the last heartbeat of any member
   */
  selectEvictable(silent: readonly Member[], monitored: number, lastBeatAt: number, now: number): Member[] {
    const { massWindowMs, massMinimum, massShare } = this.settings;
    this.evictions = this.evictions.filter((at) => now - at < massWindowMs);
    const simultaneous = silent.length + this.evictions.length;
    const isMassSilence =
      simultaneous > Math.max(massMinimum, massShare * (monitored + this.evictions.length));
    const evictable = silent.filter((member) => {
      if (isMassSilence) member.massHoldSince ??= now;
      return member.massHoldSince === undefined || this.isHoldOver(member.massHoldSince, lastBeatAt, now);
    });
    for (const member of evictable) if (member.massHoldSince === undefined) this.evictions.push(now);
    return evictable;
  }

  private isHoldOver(heldSince: number, lastBeatAt: number, now: number): boolean {
    return now - heldSince > this.settings.massHoldMs && now - lastBeatAt <= this.settings.suspectAfterMs;
  }
}
