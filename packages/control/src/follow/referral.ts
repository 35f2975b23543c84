/** Refers the callers of an instance without a log to another instance. */
import { Follower } from '@jasmineroute/knowledge';
import type { FollowTaskParts, Listener } from '@jasmineroute/knowledge';

/** Ignores the events of the followed instance; only its reachability matters. */
const ignoreEvents: Listener = {
  // The highest number, so that no configuration is sent.
  number: () => Number.MAX_SAFE_INTEGER,
  confirmed: () => true,
  entries: () => 0,
  apply: () => undefined,
  lost: () => undefined,
};

/** Dependencies and addresses. */
export interface ReferralParts extends Pick<FollowTaskParts, 'name' | 'peers' | 'clock' | 'log'> {
  /** Control instances from the settings, host:port. */
  readonly controls: readonly string[];
  /** Own address, host:port. */
  readonly own: string;
}

/** Follows one instance that is in contact with a quorum, and another one when that is lost. */
export class Referral {
  private readonly follower: Follower;

  constructor(parts: ReferralParts) {
    this.follower = new Follower({ ...parts, role: 'agent', listener: ignoreEvents, maxFollowed: 1 });
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  /** Replaces the instances from the settings. */
  reseed(controls: readonly string[]): void {
    this.follower.reseed(controls);
  }

  /** Address of the followed instance, host:port; undefined while there is none. */
  address(): string | undefined {
    return this.follower.first();
  }
}
