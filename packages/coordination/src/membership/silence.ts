/** Judges a member by the time since its last heartbeat. */
import type { Cause, Liveness, Member } from './member.js';
import type { DetectorSettings } from './settings.js';

/** State and the reason for it. */
export interface Judgement {
  readonly liveness: Liveness;
  readonly cause: Cause;
}

/** State of a member after `silentMs` without a heartbeat; undefined: unchanged. */
export function judge(member: Member, silentMs: number, settings: DetectorSettings): Judgement | undefined {
  if (member.hasAnnouncedLeave)
    return silentMs > settings.downAfterMs ? { liveness: 'down', cause: 'left' } : undefined;
  if (silentMs <= settings.suspectAfterMs) return undefined;
  if (member.evidence === 'refused') return { liveness: 'down', cause: 'crashed' };
  if (member.evidence === 'accepted') return judgeSlow(silentMs, settings);
  if (silentMs > settings.downAfterMs) return { liveness: 'down', cause: 'silent' };
  return { liveness: 'suspect', cause: 'silent' };
}

/** The host accepts connections, so the process is only stopped or short of processor time. It often recovers. */
function judgeSlow(silentMs: number, settings: DetectorSettings): Judgement {
  return { liveness: silentMs > settings.slowDownAfterMs ? 'down' : 'suspect', cause: 'slow' };
}

/** Whether missing heartbeats are the only evidence; the cause of them may then be the observer itself. */
export function isSilenceOnly(judgement: Judgement): boolean {
  return judgement.liveness === 'down' && (judgement.cause === 'silent' || judgement.cause === 'slow');
}
