/** Decides which members are alive, from heartbeats received here and from the reports of other observers. */
import type { Clock } from '@jasmineroute/core';
import { MassGuard } from './massGuard.js';
import type { Beat, BeatOutcome, Cause, Digest, ProbeResult, Liveness, ObserverAge } from './member.js';
import type { Member, MemberReport, Source, Transition } from './member.js';
import { MemberTable } from './memberTable.js';
import { ObserverList } from './observerList.js';
import { ObserverTime } from './observerTime.js';
import type { DetectorSettings } from './settings.js';
import { judge, isSilenceOnly } from './silence.js';
import type { Judgement } from './silence.js';

const ALIVE: Judgement = { liveness: 'alive', cause: 'heard' };
const LEAVING: Judgement = { liveness: 'leaving', cause: 'left' };

/** What the detector needs. */
export interface FailureDetectorOptions {
  /** Name of this observer. */
  readonly observer: string;
  /** New for each start of the observer; larger is newer. */
  readonly incarnation: bigint;
  readonly clock: Clock;
  readonly settings: DetectorSettings;
  /** Whether this observer is in contact with a quorum of the others. While it is not, it evicts nobody. */
  readonly vouched: () => boolean;
}

/**
 * A failure detector over named members. Each member sends its heartbeats to one observer, which judges it and
 * reports its state to the others. When that observer is lost, its members have a grace period to reach another one.
 * The owner calls `tick` every `settings.tickMs` and acts on the transitions.
 */
export class FailureDetector {
  private readonly members: MemberTable;
  private readonly observers = new ObserverList();
  private readonly time: ObserverTime;
  private readonly massGuard: MassGuard;
  private lastBeatAt = Number.NEGATIVE_INFINITY;
  /** Observer time since which `options.vouched` holds; undefined while it does not. */
  private vouchedSince: number | undefined;

  constructor(private readonly options: FailureDetectorOptions) {
    const { observer, incarnation, clock, settings } = options;
    this.members = new MemberTable(observer, incarnation);
    this.time = new ObserverTime(clock, settings.tickMs, settings.pauseMs);
    this.massGuard = new MassGuard(settings);
  }

  /** Processes a heartbeat that this observer received. */
  beat(beat: Beat): BeatOutcome {
    const now = this.time.now();
    const known = this.members.find(beat.name);
    if (known !== undefined && beat.incarnation < known.incarnation) return 'superseded';
    this.lastBeatAt = now;
    if (known === undefined || beat.incarnation > known.incarnation) {
      this.addMember(beat, now, beat.leaving ? LEAVING : ALIVE, this.members.localSource());
      return 'taken';
    }
    if (beat.sequence < known.sequence) return 'outdated';
    this.recordBeat(known, beat, now);
    return 'taken';
  }

  /** Merges a report from another observer, its own or one that it passes on. */
  report(report: MemberReport): void {
    const now = this.time.now();
    if (report.source.observer === this.options.observer) return;
    const known = this.members.find(report.name);
    if (known !== undefined && report.incarnation < known.incarnation) return;
    if (known === undefined || report.incarnation > known.incarnation) {
      this.addMember(report, now - report.ageMs, report, report.source);
      return;
    }
    this.mergeReport(known, report, now);
  }

  /** Records the last contact with another observer, direct or as reported by others. */
  recordObserverContact({ name, incarnation, ageMs }: ObserverAge): void {
    if (name !== this.options.observer)
      this.observers.recordContact(name, incarnation, this.time.now() - ageMs);
  }

  /** Records the result of a connection attempt to a suspect; ignored for other states and incarnations. */
  recordProbeResult(name: string, incarnation: bigint, evidence: ProbeResult): void {
    const member = this.members.find(name);
    if (member?.incarnation !== incarnation || member.liveness !== 'suspect') return;
    member.evidence = evidence;
  }

  /** Judges the silent members. Returns all state changes since the last call. */
  tick(): Transition[] {
    const now = this.time.now();
    this.updateVouchedSince(now);
    this.judgeAll(now);
    this.members.removeExpired(now, this.options.settings.forgetAfterMs);
    return this.takeTransitions();
  }

  /** State changes since the last call or tick, without judging members again. */
  takeTransitions(): Transition[] {
    return this.members.takeTransitions();
  }

  /** Changes after `since` (0n: everything), without the members that `reader` itself reports on. */
  digest(since: bigint, reader?: string): Digest {
    const now = this.time.now();
    const reports = this.members.reportsSince(since, reader, now);
    return { since, upTo: this.members.lastChange, reports, observers: this.observers.ages(now) };
  }

  /** The member of a name, or undefined. */
  find(name: string): Readonly<Member> | undefined {
    return this.members.find(name);
  }

  all(): Iterable<Readonly<Member>> {
    return this.members.all();
  }

  private addMember(
    { name, incarnation, sequence }: Pick<Beat, 'name' | 'incarnation' | 'sequence'>,
    lastBeatAt: number,
    { liveness, cause }: Judgement,
    source: Source,
  ): void {
    const hasAnnouncedLeave = liveness === 'leaving' || cause === 'left';
    const downSince = liveness === 'down' ? this.time.now() : undefined;
    const state = {
      name,
      incarnation,
      sequence,
      liveness,
      cause,
      hasAnnouncedLeave,
      lastBeatAt,
      downSince,
      source,
    };
    this.members.add(state);
  }

  private recordBeat(member: Member, beat: Beat, now: number): void {
    const silentMs = now - member.lastBeatAt;
    const isLate = silentMs > this.options.settings.suspectAfterMs && !this.members.isRemote(member);
    const isMoved = this.members.isRemote(member);
    const isNewer = beat.sequence > member.sequence;
    member.lastBeatAt = now;
    member.sequence = beat.sequence;
    member.evidence = undefined;
    member.massHoldSince = undefined;
    member.hasAnnouncedLeave ||= beat.leaving;
    if (isMoved) this.members.takeOver(member);
    else if (isNewer) this.members.recordChange(member);
    if (member.hasAnnouncedLeave) this.members.setState(member, 'leaving', 'left', now);
    // A member stays suspect until a heartbeat arrives on time: a single late one may be an exception.
    else if (isLate) this.members.setState(member, 'suspect', 'slow', now);
    else this.members.setState(member, 'alive', 'heard', now);
  }

  private mergeReport(member: Member, report: MemberReport, now: number): void {
    const lastBeatAt = now - report.ageMs;
    const isReportedLeaving = report.liveness === 'leaving' || report.cause === 'left';
    if (report.sequence > member.sequence) {
      member.sequence = report.sequence;
      this.members.recordChange(member);
    }
    if (member.hasAnnouncedLeave && !isReportedLeaving && report.liveness !== 'down') {
      this.reassertLeaving(member, lastBeatAt);
      return;
    }
    if (isReportedLeaving) this.markLeft(member, now);
    const isSameSource = report.source.observer === member.source.observer;
    const isAccepted = isSameSource ? isLater(report.source, member.source) : lastBeatAt > member.lastBeatAt;
    if (isAccepted) this.adoptReport(member, report, lastBeatAt, now);
    // The sender attributes the member to another observer: report this one as its source again.
    else if (!isSameSource && !this.members.isRemote(member)) this.members.recordChange(member);
  }

  /** Leaving is final for an incarnation, so it is reported again to all, also to the observer that contradicts it. */
  private reassertLeaving(member: Member, lastBeatAt: number): void {
    member.lastBeatAt = Math.max(member.lastBeatAt, lastBeatAt);
    this.members.takeOver(member);
  }

  private markLeft(member: Member, now: number): void {
    member.hasAnnouncedLeave = true;
    if (member.liveness !== 'down') this.members.setState(member, 'leaving', 'left', now);
  }

  private adoptReport(member: Member, report: MemberReport, lastBeatAt: number, now: number): void {
    member.lastBeatAt = lastBeatAt;
    member.source = report.source;
    member.evidence = undefined;
    member.massHoldSince = undefined;
    this.members.recordChange(member);
    this.members.setState(member, report.liveness, report.cause, now);
  }

  private judgeAll(now: number): void {
    const { settings } = this.options;
    const silent: Member[] = [];
    let monitored = 0;
    for (const member of this.members.all()) {
      if (member.liveness === 'down') continue;
      if (this.members.isRemote(member) && this.vouchedSince === undefined) continue;
      if (!this.members.isRemote(member)) monitored += 1;
      const judgement = judge(member, now - this.silentSince(member), settings);
      if (judgement === undefined) continue;
      if (isSilenceOnly(judgement)) silent.push(member);
      else this.setLocalState(member, judgement.liveness, judgement.cause, now);
    }
    this.judgeSilent(silent, monitored, now);
  }

  private judgeSilent(silent: readonly Member[], monitored: number, now: number): void {
    if (this.vouchedSince === undefined) {
      for (const member of silent) this.setLocalState(member, 'suspect', 'observer-cut-off', now);
      return;
    }
    const evictable = new Set(this.massGuard.selectEvictable(silent, monitored, this.lastBeatAt, now));
    for (const member of silent) {
      const cause = member.evidence === 'accepted' ? 'slow' : 'silent';
      if (evictable.has(member)) this.setLocalState(member, 'down', cause, now);
      else this.setLocalState(member, 'suspect', 'mass-silence', now);
    }
  }

  /** Sets a state that was judged here. This observer takes over the reporting of a lost observer's member. */
  private setLocalState(member: Member, liveness: Liveness, cause: Cause, now: number): void {
    if (this.members.isRemote(member)) {
      member.lastBeatAt = this.silentSince(member);
      this.members.takeOver(member);
    }
    this.members.setState(member, liveness, cause, now);
  }

  /** Observer time since which a member counts as silent, with the grace period for members of a lost observer. */
  private silentSince(member: Member): number {
    const baseline = Math.max(member.lastBeatAt, this.vouchedSince ?? member.lastBeatAt);
    if (!this.members.isRemote(member)) return baseline;
    const { observerAfterMs, orphanGraceMs } = this.options.settings;
    const lastObserverContactAt = this.observers.lastContactWithSource(member.source) ?? member.lastBeatAt;
    return Math.max(baseline, lastObserverContactAt) + observerAfterMs + orphanGraceMs;
  }

  /** After an isolation the silence of all members counts from its end: they may have moved, and reports may be late. */
  private updateVouchedSince(now: number): void {
    if (!this.options.vouched()) this.vouchedSince = undefined;
    else this.vouchedSince ??= now;
  }
}

function isLater(a: Source, b: Source): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.change > b.change;
}
