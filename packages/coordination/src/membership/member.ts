/** Members, beats and what is told of them. */

/** State of a member. */
export type Liveness = 'alive' | 'suspect' | 'leaving' | 'down';

/**
 * Why a member is in its state:
 * - heard: beats come on time;
 * - slow: beats come late, or its address takes connections while no beats come;
 * - silent: no beats, and nothing else is known;
 * - crashed: its address refuses connections, so the process is gone while its host and the way to it are not;
 * - mass-silence: many fell silent at one time, which points to the observer or the network;
 * - observer-cut-off: the observer itself is out of touch, so silence says nothing of the member;
 * - left: it said that it leaves.
 */
export type Cause = 'heard' | 'slow' | 'silent' | 'crashed' | 'mass-silence' | 'observer-cut-off' | 'left';

/** What a try to connect to a suspect's address showed. */
export type Evidence = 'refused' | 'accepted' | 'unreachable';

/** A sign of life. */
export interface Beat {
  readonly name: string;
  /** New for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  /** Order of states of one incarnation. */
  readonly sequence: bigint;
  readonly leaving: boolean;
}

/** What became of a beat: it counts, a later state was known, or a newer process has the name. */
export type BeatVerdict = 'taken' | 'outdated' | 'superseded';

/** The observer that hears a member, and its count of changes, which orders what it says. */
export interface Source {
  readonly observer: string;
  readonly incarnation: bigint;
  readonly change: bigint;
}

/** What one observer tells others of a member. */
export interface MemberReport {
  readonly name: string;
  readonly incarnation: bigint;
  readonly sequence: bigint;
  readonly liveness: Liveness;
  readonly cause: Cause;
  /** Milliseconds since its last beat. */
  readonly ageMs: number;
  readonly source: Source;
}

/** An observer that was heard. */
export interface ObserverAge {
  readonly name: string;
  readonly incarnation: bigint;
  /** Milliseconds since it was last heard, directly or by others. */
  readonly ageMs: number;
}

/** What changed since a place, for another observer. */
export interface Digest {
  readonly since: bigint;
  readonly upTo: bigint;
  readonly reports: readonly MemberReport[];
  /** Other observers that were heard. */
  readonly observers: readonly ObserverAge[];
}

/** A change of state. */
export interface Transition {
  readonly name: string;
  readonly incarnation: bigint;
  /** Absent for a member that was not known. */
  readonly from?: Liveness;
  /** Absent for a member that is forgotten. */
  readonly to?: Liveness;
  readonly cause: Cause;
}

/** What the detector holds of a member. */
export interface Member {
  readonly name: string;
  incarnation: bigint;
  sequence: bigint;
  liveness: Liveness;
  cause: Cause;
  /** It said that it leaves; final for the incarnation. */
  left: boolean;
  /** Observer's time of the last beat. */
  heardAt: number;
  /** Observer's time since which it is down. */
  downAt?: number;
  /** Observer's time since which it is held for mass silence. */
  heldAt?: number;
  evidence?: Evidence;
  source: Source;
  /** This detector's count at the member's last change. */
  change: bigint;
}
