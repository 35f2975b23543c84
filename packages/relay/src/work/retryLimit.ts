/** Why a request is not sent to another target after a failed attempt, for logs and metrics. */

/**
 * - ended: its caller left, its deadline passed, or the planned stop ends;
 * - time: too little is left of its time;
 * - stopping: it could outlast the planned stop of this entry;
 * - attempts: it was sent as often as its route allows;
 * - begun: its answer has begun and can't go on elsewhere;
 * - quarantined: targets crashed while they ran it;
 * - not-repeatable: it may have run, and may run only once;
 * - budget: the retry budget of its service is used up;
 * - no-target: no other target is ready that may take it.
 */
export type RetryLimit =
  | 'ended'
  | 'time'
  | 'stopping'
  | 'attempts'
  | 'begun'
  | 'quarantined'
  | 'not-repeatable'
  | 'budget'
  | 'no-target';
