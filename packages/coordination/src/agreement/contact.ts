/** Whether a replica is in contact with a quorum, so that its state is known to be current. */
import { coordinationEvents } from '../events.js';
import type { Applier } from './applier.js';
import type { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import type { Replica } from './replica.js';

/** Monitors the contact of one replica and notifies listeners of status changes. */
export class Contact {
  /** Whether the replica is in contact with a quorum and its applied state is current. */
  vouched = false;
  /** Called when role, term, leader, configuration or `vouched` changed. */
  readonly listeners = new Set<() => void>();
  private lastReported = '';

  constructor(
    private readonly replica: Replica,
    private readonly applier: Applier,
    private readonly follower: Follower,
    private readonly leadership: () => Leadership | undefined,
  ) {}

  /** Runs until the replica stops. */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped) {
      this.update();
      await replica.changed.waitFor(replica.clock, replica.tuning.heartbeatMs);
    }
    this.setVouched(false);
  }

  /** Reevaluates the contact, and notifies the listeners when the status changed. */
  update(): void {
    this.setVouched(this.replica.role === 'leader' ? this.isLeaderVouched() : this.isFollowerVouched());
    const { role, term, leader, entries } = this.replica;
    const current = [role, term, leader, entries.configuration().index, this.vouched].join(' ');
    if (current === this.lastReported) return;
    this.lastReported = current;
    for (const listener of this.listeners) listener();
  }

  private isLeaderVouched(): boolean {
    const leadership = this.leadership();
    if (leadership?.isActive !== true) return false;
    // Until a new leader has applied the entries of earlier terms, its recent contact with the previous leader counts.
    if (!leadership.coversTermStart(this.applier.lastApplied)) return this.vouched && this.hasLeaderContact();
    return leadership.hasQuorum(this.replica.tuning.vouchWindowMs);
  }

  /**
   * A follower vouches for its state while it receives messages from a leader and has applied every entry known to be
   * committed: after a long isolation the first heartbeat arrives before the missed entries.
   */
  private isFollowerVouched(): boolean {
    const { replica } = this;
    if (!this.hasLeaderContact()) return false;
    if (this.vouched) return true;
    const { lastApplied } = this.applier;
    const isCurrent = lastApplied >= this.follower.leaderCommitIndex;
    return isCurrent && replica.entries.termAt(lastApplied) === replica.term;
  }

  private hasLeaderContact(): boolean {
    const { lastLeaderContact, clock, tuning } = this.replica;
    return lastLeaderContact !== undefined && clock.monotonic() - lastLeaderContact < tuning.vouchWindowMs;
  }

  private setVouched(vouched: boolean): void {
    if (vouched === this.vouched) return;
    this.vouched = vouched;
    const event = vouched ? coordinationEvents.vouching : coordinationEvents.isolated;
    this.replica.log.event(event, { term: this.replica.term.toString() });
  }
}
