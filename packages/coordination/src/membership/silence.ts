/** Judgement on one silent member. */
import type { Cause, Liveness, Member } from './member.js';
import type { DetectorSettings } from './settings.js';

/** State and why. */
export interface Judgement {
  readonly liveness: Liveness;
  readonly cause: Cause;
}

/** What a member is after `silentMs` without a beat; undefined: as it was. */
export function judge(member: Member, silentMs: number, settings: DetectorSettings): Judgement | undefined {
  if (member.left) return silentMs > settings.downAfterMs ? { liveness: 'down', cause: 'left' } : undefined;
  if (silentMs <= settings.suspectAfterMs) return undefined;
  if (member.evidence === 'refused') return { liveness: 'down', cause: 'crashed' };
  if (member.evidence === 'accepted') return judgeSlow(silentMs, settings);
  if (silentMs > settings.downAfterMs) return { liveness: 'down', cause: 'silent' };
  return { liveness: 'suspect', cause: 'silent' };
}

/** A process that is stopped or starved: its host still takes connections for it. It often comes back. */
function judgeSlow(silentMs: number, settings: DetectorSettings): Judgement {
  return { liveness: silentMs > settings.slowDownAfterMs ? 'down' : 'suspect', cause: 'slow' };
}

/** Whether a judgement rests on nothing but missing beats, which the observer itself may be the reason for. */
export function restsOnSilence(judgement: Judgement): boolean {
  return judgement.liveness === 'down' && (judgement.cause === 'silent' || judgement.cause === 'slow');
}
