/** The members that an observer knows, with a count of changes. */
import type { Cause, Liveness, Member, MemberReport, Source, Transition } from './member.js';

/** Members by name. Every change gets the next number, so that others can be told what changed since a number. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private transitions: Transition[] = [];
  private changes = 0n;

  constructor(
    private readonly observer: string,
    private readonly incarnation: bigint,
  ) {}

  /** Number of the newest change. */
  get count(): bigint {
    return this.changes;
  }

  find(name: string): Member | undefined {
    return this.members.get(name);
  }

  all(): Iterable<Member> {
    return this.members.values();
  }

  /** Lists a member anew, in place of an older incarnation. */
  enter(member: Omit<Member, 'change'>): void {
    const { name, incarnation, liveness, cause } = member;
    const from = this.members.get(name)?.liveness;
    const entered = { ...member, change: 0n };
    this.members.set(name, entered);
    this.touch(entered);
    this.transitions.push({ name, incarnation, from, to: liveness, cause });
  }

  /** Puts a member into a state. */
  settle(member: Member, liveness: Liveness, cause: Cause, now: number): void {
    if (member.liveness === liveness && member.cause === cause) return;
    const { name, incarnation, liveness: from } = member;
    member.liveness = liveness;
    member.cause = cause;
    member.downAt = liveness === 'down' ? now : undefined;
    this.touch(member);
    if (from !== liveness) this.transitions.push({ name, incarnation, from, to: liveness, cause });
  }

  /** Notes that something of a member is new to others. */
  touch(member: Member): void {
    this.changes += 1n;
    member.change = this.changes;
    if (!this.isRemote(member)) member.source = this.ownSource();
  }

  /** From now on this observer tells of the member. */
  adopt(member: Member): void {
    member.source = this.ownSource();
    this.touch(member);
  }

  /** Whether another observer hears the member. */
  isRemote(member: Member): boolean {
    return member.source.observer !== this.observer;
  }

  /** What this observer says now. */
  ownSource(): Source {
    return { observer: this.observer, incarnation: this.incarnation, change: this.changes };
  }

  /** Takes members off that have been down for `ms` milliseconds. */
  forget(now: number, ms: number): void {
    for (const [name, { downAt, incarnation, liveness, cause }] of this.members) {
      if (downAt === undefined || now - downAt < ms) continue;
      this.members.delete(name);
      this.transitions.push({ name, incarnation, from: liveness, cause });
    }
  }

  /** Changes of state since the last call. */
  takeTransitions(): Transition[] {
    const transitions = this.transitions;
    this.transitions = [];
    return transitions;
  }

  /** Reports of what changed after a number, without what `reader` told. */
  reportsSince(since: bigint, reader: string | undefined, now: number): MemberReport[] {
    if (since >= this.changes) return [];
    return [...this.members.values()]
      .filter((member) => member.change > since && member.source.observer !== reader)
      .map((member) => reportOf(member, now));
  }
}

function reportOf(member: Member, now: number): MemberReport {
  const { name, incarnation, sequence, liveness, cause, source } = member;
  return { name, incarnation, sequence, liveness, cause, source, ageMs: Math.max(0, now - member.heardAt) };
}
