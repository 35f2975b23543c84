/** Tells which members are alive, from beats heard here and from what other observers tell. */
import type { Clock } from '@jasmineroute/core';
import { MassGuard } from './massGuard.js';
import type { Beat, BeatVerdict, Cause, Digest, Evidence, Liveness, ObserverAge } from './member.js';
import type { Member, MemberReport, Source, Transition } from './member.js';
import { MemberTable } from './memberTable.js';
import { ObserverList } from './observerList.js';
import { ObserverTime } from './observerTime.js';
import type { DetectorSettings } from './settings.js';
import { judge, restsOnSilence } from './silence.js';
import type { Judgement } from './silence.js';

const HEARD: Judgement = { liveness: 'alive', cause: 'heard' };
const LEFT: Judgement = { liveness: 'leaving', cause: 'left' };

/** What the detector needs. */
export interface FailureDetectorOptions {
  /** Name of this observer. */
  readonly observer: string;
  /** New for each start of the observer; larger is newer. */
  readonly incarnation: bigint;
  readonly clock: Clock;
  readonly settings: DetectorSettings;
  /** Whether this observer is in touch with the other ones; while not, it evicts nobody. */
  readonly vouched: () => boolean;
}

/**
 * A failure detector over named members. Each member is heard by one observer, which judges it and tells the
 * others; when that observer is lost, its members have a grace to be heard elsewhere. The owner calls `tick`
 * every `settings.tickMs` and acts on the transitions.
 */
export class FailureDetector {
  private readonly members: MemberTable;
  private readonly observers = new ObserverList();
  private readonly time: ObserverTime;
  private readonly guard: MassGuard;
  private lastHeard = Number.NEGATIVE_INFINITY;
  /** Observer's time since which it is in touch; undefined while it is not. */
  private vouchedSince: number | undefined;

  constructor(private readonly options: FailureDetectorOptions) {
    const { observer, incarnation, clock, settings } = options;
    this.members = new MemberTable(observer, incarnation);
    this.time = new ObserverTime(clock, settings.tickMs, settings.pauseMs);
    this.guard = new MassGuard(settings);
  }

  /** Takes a sign of life that was heard here. */
  beat(beat: Beat): BeatVerdict {
    const now = this.time.now();
    const known = this.members.find(beat.name);
    if (known !== undefined && beat.incarnation < known.incarnation) return 'superseded';
    this.lastHeard = now;
    if (known === undefined || beat.incarnation > known.incarnation) {
      this.enter(beat, now, beat.leaving ? LEFT : HEARD, this.members.ownSource());
      return 'taken';
    }
    if (beat.sequence < known.sequence) return 'outdated';
    this.hear(known, beat, now);
    return 'taken';
  }

  /** Takes what another observer tells, first-hand or passed on. */
  report(report: MemberReport): void {
    const now = this.time.now();
    if (report.source.observer === this.options.observer) return;
    const known = this.members.find(report.name);
    if (known !== undefined && report.incarnation < known.incarnation) return;
    if (known === undefined || report.incarnation > known.incarnation) {
      this.enter(report, now - report.ageMs, report, report.source);
      return;
    }
    this.merge(known, report, now);
  }

  /** Takes when another observer was last heard, directly or by others. */
  observerHeard({ name, incarnation, ageMs }: ObserverAge): void {
    if (name !== this.options.observer) this.observers.heard(name, incarnation, this.time.now() - ageMs);
  }

  /** Takes what a try to connect to a suspect showed. */
  evidence(name: string, incarnation: bigint, evidence: Evidence): void {
    const member = this.members.find(name);
    if (member?.incarnation !== incarnation || member.liveness !== 'suspect') return;
    member.evidence = evidence;
  }

  /** Judges the silent ones. Returns all changes since the last call. */
  tick(): Transition[] {
    const now = this.time.now();
    this.followVouched(now);
    this.judgeAll(now);
    this.members.forget(now, this.options.settings.forgetAfterMs);
    return this.takeTransitions();
  }

  /** All changes since the last call or tick, without a new judgement. */
  takeTransitions(): Transition[] {
    return this.members.takeTransitions();
  }

  /** What changed after `since` (0n: everything), leaving out what `reader` itself hears. */
  digest(since: bigint, reader?: string): Digest {
    const now = this.time.now();
    const reports = this.members.reportsSince(since, reader, now);
    return { since, upTo: this.members.count, reports, observers: this.observers.ages(now) };
  }

  /** What is known of a member. */
  find(name: string): Readonly<Member> | undefined {
    return this.members.find(name);
  }

  /** All members. */
  all(): Iterable<Readonly<Member>> {
    return this.members.all();
  }

  private enter(
    { name, incarnation, sequence }: Pick<Beat, 'name' | 'incarnation' | 'sequence'>,
    heardAt: number,
    { liveness, cause }: Judgement,
    source: Source,
  ): void {
    const left = liveness === 'leaving' || cause === 'left';
    const downAt = liveness === 'down' ? this.time.now() : undefined;
    const state = { name, incarnation, sequence, liveness, cause, left, heardAt, downAt, source };
    this.members.enter(state);
  }

  private hear(member: Member, beat: Beat, now: number): void {
    const silentMs = now - member.heardAt;
    const late = silentMs > this.options.settings.suspectAfterMs && !this.members.isRemote(member);
    const moved = this.members.isRemote(member);
    const newer = beat.sequence > member.sequence;
    member.heardAt = now;
    member.sequence = beat.sequence;
    member.evidence = undefined;
    member.heldAt = undefined;
    member.left ||= beat.leaving;
    if (moved) this.members.adopt(member);
    else if (newer) this.members.touch(member);
    if (member.left) this.members.settle(member, 'leaving', 'left', now);
    // One late beat does not make a member reliable: it stays suspect until one comes on time.
    else if (late) this.members.settle(member, 'suspect', 'slow', now);
    else this.members.settle(member, 'alive', 'heard', now);
  }

  private merge(member: Member, report: MemberReport, now: number): void {
    const heardAt = now - report.ageMs;
    const saysLeft = report.liveness === 'leaving' || report.cause === 'left';
    if (report.sequence > member.sequence) {
      member.sequence = report.sequence;
      this.members.touch(member);
    }
    if (member.left && !saysLeft && report.liveness !== 'down') {
      this.contradict(member, heardAt);
      return;
    }
    if (saysLeft) this.markLeft(member, now);
    const sameSource = report.source.observer === member.source.observer;
    const accepted = sameSource ? isLater(report.source, member.source) : heardAt > member.heardAt;
    if (accepted) this.accept(member, report, heardAt, now);
    // Whoever told this believes in another observer: tell it anew who hears the member.
    else if (!sameSource && !this.members.isRemote(member)) this.members.touch(member);
  }

  /** Leaving is final for an incarnation: whoever has not heard of it yet is told, even who hears the member. */
  private contradict(member: Member, heardAt: number): void {
    member.heardAt = Math.max(member.heardAt, heardAt);
    this.members.adopt(member);
  }

  private markLeft(member: Member, now: number): void {
    member.left = true;
    if (member.liveness !== 'down') this.members.settle(member, 'leaving', 'left', now);
  }

  private accept(member: Member, report: MemberReport, heardAt: number, now: number): void {
    member.heardAt = heardAt;
    member.source = report.source;
    member.evidence = undefined;
    member.heldAt = undefined;
    this.members.touch(member);
    this.members.settle(member, report.liveness, report.cause, now);
  }

  private judgeAll(now: number): void {
    const { settings } = this.options;
    const silent: Member[] = [];
    let watched = 0;
    for (const member of this.members.all()) {
      if (member.liveness === 'down') continue;
      if (this.members.isRemote(member) && this.vouchedSince === undefined) continue;
      if (!this.members.isRemote(member)) watched += 1;
      const verdict = judge(member, now - this.heardAt(member), settings);
      if (verdict === undefined) continue;
      if (restsOnSilence(verdict)) silent.push(member);
      else this.decide(member, verdict.liveness, verdict.cause, now);
    }
    this.judgeSilent(silent, watched, now);
  }

  private judgeSilent(silent: readonly Member[], watched: number, now: number): void {
    if (this.vouchedSince === undefined) {
      for (const member of silent) this.decide(member, 'suspect', 'observer-cut-off', now);
      return;
    }
    const admitted = new Set(this.guard.admit(silent, watched, this.lastHeard, now));
    for (const member of silent) {
      const cause = member.evidence === 'accepted' ? 'slow' : 'silent';
      if (admitted.has(member)) this.decide(member, 'down', cause, now);
      else this.decide(member, 'suspect', 'mass-silence', now);
    }
  }

  /** Judges a member here; one of a lost observer becomes this one's to tell of. */
  private decide(member: Member, liveness: Liveness, cause: Cause, now: number): void {
    if (this.members.isRemote(member)) {
      member.heardAt = this.heardAt(member);
      this.members.adopt(member);
    }
    this.members.settle(member, liveness, cause, now);
  }

  /** Since when a member counts as silent. */
  private heardAt(member: Member): number {
    const own = Math.max(member.heardAt, this.vouchedSince ?? member.heardAt);
    if (!this.members.isRemote(member)) return own;
    const { observerAfterMs, orphanGraceMs } = this.options.settings;
    const observerAt = this.observers.stoodBy(member.source) ?? member.heardAt;
    return Math.max(own, observerAt) + observerAfterMs + orphanGraceMs;
  }

  /** After a time out of touch all members get a fresh start: they may have moved, and word of that may be late. */
  private followVouched(now: number): void {
    if (!this.options.vouched()) this.vouchedSince = undefined;
    else this.vouchedSince ??= now;
  }
}

function isLater(a: Source, b: Source): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.change > b.change;
}
