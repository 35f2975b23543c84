/** For an instance that holds no log: which other one callers are to ask. */
import { Follower } from '@jasmineroute/knowledge';
import type { FollowTaskParts, Listener } from '@jasmineroute/knowledge';

/** Learns nothing from what it follows but that it is there. */
const nothing: Listener = {
  // Held already, whatever it is: no configuration is sent.
  number: () => Number.MAX_SAFE_INTEGER,
  confirmed: () => true,
  entries: () => 0,
  apply: () => undefined,
  lost: () => undefined,
};

/** What it works with. */
export interface ReferralParts extends Pick<FollowTaskParts, 'name' | 'peers' | 'clock' | 'log'> {
  /** Control instances that are known from the start, host:port. */
  readonly controls: readonly string[];
  /** Own address, host:port. */
  readonly own: string;
}

/** Follows one instance that is in contact with a quorum, and the next one when that is lost. */
export class Referral {
  private readonly follower: Follower;

  constructor(parts: ReferralParts) {
    this.follower = new Follower({ ...parts, role: 'agent', listener: nothing, maxFollowed: 1 });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Replaces the instances known from the settings. */
  reseed(controls: readonly string[]): void {
    this.follower.reseed(controls);
  }

  /** Where such an instance listens, host:port; undefined while none is known. */
  address(): string | undefined {
    return this.follower.first();
  }
}
