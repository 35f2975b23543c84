/** Tells which members are alive, from beats heard here and from what other observers tell. */
import type { Clock } from '@jasmineroute/core';
import { MassGuard } from './massGuard.js';
import type { Beat, BeatVerdict, Cause, Digest, Evidence, Liveness } from './member.js';
import type { Member, MemberReport, Source, Transition } from './member.js';
import { ObserverTime } from './observerTime.js';
import type { DetectorSettings } from './settings.js';
import { judge, restsOnSilence } from './silence.js';

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
  private readonly members = new Map<string, Member>();
  private readonly observers = new Map<string, number>();
  private readonly time: ObserverTime;
  private readonly guard: MassGuard;
  private transitions: Transition[] = [];
  private count = 0n;
  private lastHeard = Number.NEGATIVE_INFINITY;
  /** Observer's time since which it is in touch; undefined while it is not. */
  private vouchedSince: number | undefined;

  constructor(private readonly options: FailureDetectorOptions) {
    const { clock, settings } = options;
    this.time = new ObserverTime(clock, settings.tickMs, settings.pauseMs);
    this.guard = new MassGuard(settings);
  }

  /** Takes a sign of life that was heard here. */
  beat(beat: Beat): BeatVerdict {
    const now = this.time.now();
    const known = this.members.get(beat.name);
    if (known !== undefined && beat.incarnation < known.incarnation) return 'superseded';
    this.lastHeard = now;
    if (known === undefined || beat.incarnation > known.incarnation) {
      this.enter(beat, now, beat.leaving ? 'leaving' : 'alive', this.ownSource());
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
    const known = this.members.get(report.name);
    if (known !== undefined && report.incarnation < known.incarnation) return;
    if (known === undefined || report.incarnation > known.incarnation) {
      this.enter(report, now - report.ageMs, report.liveness, report.source, report.cause);
      return;
    }
    this.merge(known, report, now);
  }

  /** Takes when another observer was last heard, directly or by others. */
  observerHeard(observer: string, ageMs = 0): void {
    if (observer === this.options.observer) return;
    const at = this.time.now() - ageMs;
    this.observers.set(observer, Math.max(at, this.observers.get(observer) ?? at));
  }

  /** Takes what a try to connect to a suspect showed. */
  evidence(name: string, incarnation: bigint, evidence: Evidence): void {
    const member = this.members.get(name);
    if (member?.incarnation !== incarnation || member.liveness !== 'suspect') return;
    member.evidence = evidence;
  }

  /** Judges the silent ones. Returns all changes since the last call. */
  tick(): Transition[] {
    const now = this.time.now();
    this.followVouched(now);
    this.judgeAll(now);
    this.forget(now);
    return this.takeTransitions();
  }

  /** All changes since the last call or tick, without a new judgement. */
  takeTransitions(): Transition[] {
    const transitions = this.transitions;
    this.transitions = [];
    return transitions;
  }

  /** What changed after `since` (0n: everything), leaving out what `reader` itself hears. */
  digest(since: bigint, reader?: string): Digest {
    const now = this.time.now();
    const reports: MemberReport[] = [];
    if (since < this.count) {
      for (const member of this.members.values()) {
        if (member.change > since && member.source.observer !== reader) reports.push(reportOf(member, now));
      }
    }
    const observers = new Map([[this.options.observer, 0]]);
    for (const [name, at] of this.observers) if (name !== reader) observers.set(name, Math.max(0, now - at));
    return { since, upTo: this.count, reports, observers };
  }

  /** What is known of a member. */
  find(name: string): Readonly<Member> | undefined {
    return this.members.get(name);
  }

  /** All members. */
  all(): Iterable<Readonly<Member>> {
    return this.members.values();
  }

  private enter(
    of: Pick<Beat, 'name' | 'incarnation' | 'sequence'>,
    heardAt: number,
    liveness: Liveness,
    source: Source,
    cause: Cause = liveness === 'leaving' ? 'left' : 'heard',
  ): void {
    const { name, incarnation, sequence } = of;
    const from = this.members.get(name)?.liveness;
    const left = liveness === 'leaving' || cause === 'left';
    const member: Member = {
      name,
      incarnation,
      sequence,
      liveness,
      cause,
      left,
      heardAt,
      source,
      change: 0n,
    };
    if (liveness === 'down') member.downAt = this.time.now();
    this.members.set(name, member);
    this.changed(member);
    this.transitions.push({ name, incarnation, from, to: liveness, cause });
  }

  private hear(member: Member, beat: Beat, now: number): void {
    const silentMs = now - member.heardAt;
    const late = silentMs > this.options.settings.suspectAfterMs && !this.isRemote(member);
    const moved = this.isRemote(member);
    const newer = beat.sequence > member.sequence;
    member.heardAt = now;
    member.sequence = beat.sequence;
    member.evidence = undefined;
    member.heldAt = undefined;
    member.left ||= beat.leaving;
    if (moved) member.source = this.ownSource();
    if (moved || newer) this.changed(member);
    if (member.left) this.settle(member, 'leaving', 'left', now);
    // One late beat does not make a member reliable: it stays suspect until one comes on time.
    else if (late) this.settle(member, 'suspect', 'slow', now);
    else this.settle(member, 'alive', 'heard', now);
  }

  private merge(member: Member, report: MemberReport, now: number): void {
    const heardAt = now - report.ageMs;
    if (report.liveness === 'leaving' || report.cause === 'left') member.left = true;
    if (report.sequence > member.sequence) {
      member.sequence = report.sequence;
      this.changed(member);
    }
    const sameSource = report.source.observer === member.source.observer;
    const accepted = sameSource ? isLater(report.source, member.source) : heardAt > member.heardAt;
    if (!accepted) {
      if (member.left && member.liveness !== 'down') this.settle(member, 'leaving', 'left', now);
      // Whoever told this believes in another observer: tell it anew who hears the member.
      if (!sameSource && !this.isRemote(member)) this.changed(member);
      return;
    }
    member.heardAt = heardAt;
    member.source = report.source;
    member.evidence = undefined;
    member.heldAt = undefined;
    this.changed(member);
    const stays = member.left && report.liveness !== 'down';
    if (stays) this.settle(member, 'leaving', 'left', now);
    else this.settle(member, report.liveness, report.cause, now);
  }

  private judgeAll(now: number): void {
    const { settings } = this.options;
    const silent: Member[] = [];
    let watched = 0;
    for (const member of this.members.values()) {
      if (member.liveness === 'down') continue;
      if (this.isRemote(member) && this.vouchedSince === undefined) continue;
      if (!this.isRemote(member)) watched += 1;
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
    if (this.isRemote(member)) {
      member.heardAt = this.heardAt(member);
      member.source = this.ownSource();
      this.changed(member);
    }
    this.settle(member, liveness, cause, now);
  }

  private settle(member: Member, liveness: Liveness, cause: Cause, now: number): void {
    if (member.liveness === liveness && member.cause === cause) return;
    const from = member.liveness;
    member.liveness = liveness;
    member.cause = cause;
    member.downAt = liveness === 'down' ? now : undefined;
    this.changed(member);
    if (from !== liveness)
      this.transitions.push({
        name: member.name,
        incarnation: member.incarnation,
        from,
        to: liveness,
        cause,
      });
  }

  /** Since when a member counts as silent. */
  private heardAt(member: Member): number {
    const own = Math.max(member.heardAt, this.vouchedSince ?? member.heardAt);
    if (!this.isRemote(member)) return own;
    const { observerAfterMs, orphanGraceMs } = this.options.settings;
    const observerAt = this.observers.get(member.source.observer) ?? member.heardAt;
    return Math.max(own, observerAt) + observerAfterMs + orphanGraceMs;
  }

  /** After a time out of touch all members get a fresh start: they may have moved, and word of that may be late. */
  private followVouched(now: number): void {
    if (!this.options.vouched()) this.vouchedSince = undefined;
    else this.vouchedSince ??= now;
  }

  private forget(now: number): void {
    for (const [name, { downAt, incarnation, liveness, cause }] of this.members) {
      if (downAt === undefined || now - downAt < this.options.settings.forgetAfterMs) continue;
      this.members.delete(name);
      this.transitions.push({ name, incarnation, from: liveness, cause });
    }
  }

  private changed(member: Member): void {
    this.count += 1n;
    member.change = this.count;
    if (!this.isRemote(member)) member.source = this.ownSource();
  }

  private isRemote(member: Member): boolean {
    return member.source.observer !== this.options.observer;
  }

  private ownSource(): Source {
    const { observer, incarnation } = this.options;
    return { observer, incarnation, change: this.count };
  }
}

function isLater(a: Source, b: Source): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.change > b.change;
}

function reportOf(member: Member, now: number): MemberReport {
  const { name, incarnation, sequence, liveness, cause, source } = member;
  return { name, incarnation, sequence, liveness, cause, source, ageMs: Math.max(0, now - member.heardAt) };
}
