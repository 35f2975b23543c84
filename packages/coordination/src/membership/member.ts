/** Members, heartbeats and the reports that observers exchange. */

/** State of a member. */
export type Liveness = 'alive' | 'suspect' | 'leaving' | 'down';

/**
 * Why a member is in its state:
 * - heard: heartbeats arrive on time;
 * - slow: heartbeats arrive late, or its address accepts connections while no heartbeats arrive;
 * - silent: no heartbeats arrive, and there is no other evidence;
 * - crashed: its address refuses connections: the host and the network work, but the process is gone;
 * - mass-silence: many members fell silent at the same time, which points to the observer or the network;
 * - observer-cut-off: the observer is isolated, so silence is no evidence about the member;
 * - left: it announced that it is leaving.
 */
export type Cause = 'heard' | 'slow' | 'silent' | 'crashed' | 'mass-silence' | 'observer-cut-off' | 'left';

/** Result of a connection attempt to a suspect's address. */
export type ProbeResult = 'refused' | 'accepted' | 'unreachable';

/** A heartbeat. */
export interface Beat {
  readonly name: string;
  /** New for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  /** Orders the heartbeats of one incarnation. */
  readonly sequence: bigint;
  readonly leaving: boolean;
}

/** Outcome of a heartbeat: accepted, older than a known one, or from a process that a newer one has replaced. */
export type BeatOutcome = 'taken' | 'outdated' | 'superseded';

/** The observer that receives a member's heartbeats, and its change number, which orders its reports. */
export interface Source {
  readonly observer: string;
  readonly incarnation: bigint;
  readonly change: bigint;
}

/** Report on a member from one observer to the others. */
export interface MemberReport {
  readonly name: string;
  readonly incarnation: bigint;
  readonly sequence: bigint;
  readonly liveness: Liveness;
  readonly cause: Cause;
  /** Milliseconds since its last heartbeat. */
  readonly ageMs: number;
  readonly source: Source;
}

/** Age of the last contact with an observer. */
export interface ObserverAge {
  readonly name: string;
  readonly incarnation: bigint;
  /** Milliseconds since the last contact, direct or as reported by others. */
  readonly ageMs: number;
}

/** Changes after a change number, for another observer. */
export interface Digest {
  readonly since: bigint;
  readonly upTo: bigint;
  readonly reports: readonly MemberReport[];
  /** Contacts with other observers. */
  readonly observers: readonly ObserverAge[];
}

/** A state change of a member. */
export interface Transition {
  readonly name: string;
  readonly incarnation: bigint;
  /** Absent for a member that was unknown before. */
  readonly from?: Liveness;
  /** Absent for a member that was removed. */
  readonly to?: Liveness;
  readonly cause: Cause;
}

/** The detector's record of a member. */
export interface Member {
  readonly name: string;
  incarnation: bigint;
  sequence: bigint;
  liveness: Liveness;
  cause: Cause;
  /** Final for the incarnation. */
  hasAnnouncedLeave: boolean;
  /** Observer time of the last heartbeat. */
  lastBeatAt: number;
  /** Observer time since which it is down. */
  downSince?: number;
  /** Observer time since which it is held as suspect because of mass silence. */
  massHoldSince?: number;
  evidence?: ProbeResult;
  source: Source;
  /** Number of the member's last change in this detector. */
  change: bigint;
}
