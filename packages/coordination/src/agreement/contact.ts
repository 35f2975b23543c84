/** Whether a replica is in contact with a quorum, so that what it says can be relied on. */
import { coordinationEvents } from '../events.js';
import type { Applier } from './applier.js';
import type { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import type { Replica } from './replica.js';

/** Watches one replica's contact. */
export class Contact {
  vouched = false;
  /** Called when role, term, leader, configuration or `vouched` changed. */
  readonly listeners = new Set<() => void>();
  private told = '';

  constructor(
    private readonly replica: Replica,
    private readonly applier: Applier,
    private readonly follower: Follower,
    private readonly leadership: () => Leadership | undefined,
  ) {}

  /** Watches until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      this.look();
      await replica.changed.waitFor(replica.clock, replica.tuning.heartbeatMs);
    }
    this.set(false);
  }

  /** Looks at the contact now, and tells the listeners. */
  look(): void {
    this.set(this.replica.role === 'leader' ? this.leads() : this.follows());
    const { role, term, leader, entries } = this.replica;
    const now = [role, term, leader, entries.configuration().index, this.vouched].join(' ');
    if (now === this.told) return;
    this.told = now;
    for (const listener of this.listeners) listener();
  }

  private leads(): boolean {
    const leadership = this.leadership();
    if (leadership?.isActive !== true) return false;
    // A new leader heard its predecessor a moment ago: that contact holds until its own is made and all is applied before it.
    if (!leadership.hasBegun(this.applier.lastApplied)) return this.vouched && this.hearsLeader();
    return leadership.hasQuorum(this.replica.tuning.vouchWindowMs);
  }

  /**
   * A follower vouches while it hears a leader, and only once it has applied what was committed when it came
   * back: after a long isolation the first heartbeat arrives before the changes that were missed.
   */
  private follows(): boolean {
    const { replica } = this;
    if (!this.hearsLeader()) return false;
    if (this.vouched) return true;
    const { lastApplied } = this.applier;
    const isCurrent = lastApplied >= this.follower.leaderCommit;
    return isCurrent && replica.entries.termAt(lastApplied) === replica.term;
  }

  private hearsLeader(): boolean {
    const { leaderHeardAt, clock, tuning } = this.replica;
    return leaderHeardAt !== undefined && clock.monotonic() - leaderHeardAt < tuning.vouchWindowMs;
  }

  private set(vouched: boolean): void {
    if (vouched === this.vouched) return;
    this.vouched = vouched;
    const kind = vouched ? coordinationEvents.vouching : coordinationEvents.isolated;
    this.replica.log.event(kind, { term: this.replica.term.toString() });
  }
}
