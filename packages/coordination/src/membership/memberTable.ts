/** The members that an observer knows, with numbered changes. */
import type { Cause, Liveness, Member, MemberReport, Source, Transition } from './member.js';

/** Members by name. Changes are numbered, so that other observers can be sent those after a given number. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private transitions: Transition[] = [];
  private changes = 0n;

  constructor(
    private readonly observer: string,
    private readonly incarnation: bigint,
  ) {}

  /** Number of the newest change. */
  get lastChange(): bigint {
    return this.changes;
  }

  find(name: string): Member | undefined {
    return this.members.get(name);
  }

  all(): Iterable<Member> {
    return this.members.values();
  }

  /** Adds a member, in place of an older incarnation if there is one. */
  add(member: Omit<Member, 'change'>): void {
    const { name, incarnation, liveness, cause } = member;
    const from = this.members.get(name)?.liveness;
    const added = { ...member, change: 0n };
    this.members.set(name, added);
    this.recordChange(added);
    this.transitions.push({ name, incarnation, from, to: liveness, cause });
  }

  setState(member: Member, liveness: Liveness, cause: Cause, now: number): void {
    if (member.liveness === liveness && member.cause === cause) return;
    const { name, incarnation, liveness: from } = member;
    member.liveness = liveness;
    member.cause = cause;
    member.downSince = liveness === 'down' ? now : undefined;
    this.recordChange(member);
    if (from !== liveness) this.transitions.push({ name, incarnation, from, to: liveness, cause });
  }

  /** Gives a member the next change number, so that it is reported to others. */
  recordChange(member: Member): void {
    this.changes += 1n;
    member.change = this.changes;
    if (!this.isRemote(member)) member.source = this.localSource();
  }

  /** Makes this observer the one that reports on the member. */
  takeOver(member: Member): void {
    member.source = this.localSource();
    this.recordChange(member);
  }

  /** Whether another observer reports on the member. */
  isRemote(member: Member): boolean {
    return member.source.observer !== this.observer;
  }

  /** This observer as the source of a report, at the current change. */
  localSource(): Source {
    return { observer: this.observer, incarnation: this.incarnation, change: this.changes };
  }

  /** Removes members that have been down for `ms` milliseconds. */
  removeExpired(now: number, ms: number): void {
    for (const [name, { downSince, incarnation, liveness, cause }] of this.members) {
      if (downSince === undefined || now - downSince < ms) continue;
      this.members.delete(name);
      this.transitions.push({ name, incarnation, from: liveness, cause });
    }
  }

  /** State changes since the last call. */
  takeTransitions(): Transition[] {
    const transitions = this.transitions;
    this.transitions = [];
    return transitions;
  }

  /** Reports on members that changed after a number, without those on which `reader` reports. */
  reportsSince(since: bigint, reader: string | undefined, now: number): MemberReport[] {
    if (since >= this.changes) return [];
    return [...this.members.values()]
      .filter((member) => member.change > since && member.source.observer !== reader)
      .map((member) => toReport(member, now));
  }
}

function toReport(member: Member, now: number): MemberReport {
  const { name, incarnation, sequence, liveness, cause, source } = member;
  return {
    name,
    incarnation,
    sequence,
    liveness,
    cause,
    source,
    ageMs: Math.max(0, now - member.lastBeatAt),
  };
}
