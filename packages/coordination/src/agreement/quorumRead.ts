/** Reads while no leader is heard: from a quorum that has no entry beyond those known to be committed. */
import { isQuorum } from './configuration.js';
import type { Joining } from './joining.js';
import type { Replica } from './replica.js';
import type { Voter } from '../gen/agreement/agreement_pb.js';

/** Longest wait for the answers of a quorum, in heartbeat intervals. */
const MAX_WAIT_HEARTBEATS = 2;

/** Shortest time between two questions, in heartbeat intervals: they must not add to a load that keeps the replicas from a leader. */
const PAUSE_HEARTBEATS = 2;

/**
 * Confirms without a leader that nothing is committed that this replica doesn't know to be committed. A vote needs a disk, a read
 * does not: where disks are full, a quorum can answer that can't elect a leader.
 *
 * Every entry that was committed before the question is in the log of one of any quorum of the voters. If no log of a quorum, nor
 * its own, has an entry beyond the commit index of this replica, there is none. The index was learned from a leader, so later
 * leaders answer from at least as much. The disks, terms and votes of the others don't matter.
 */
export class QuorumRead {
  private running: Promise<bigint | undefined> | undefined;
  private queued: Promise<bigint | undefined> | undefined;
  /** Monotonic time of the last question, which may be due. */
  private askedAt = -Infinity;

  constructor(
    private readonly replica: Replica,
    private readonly joining: Joining,
  ) {}

  /** The commit index of a read; undefined when it is not confirmed. Calls during a question share the next one. */
  index(): Promise<bigint | undefined> {
    if (this.running === undefined) return this.start();
    this.queued ??= this.running.then(() => {
      this.queued = undefined;
      return this.start();
    });
    return this.queued;
  }

  private start(): Promise<bigint | undefined> {
    const running = this.ask().finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return running;
  }

  private async ask(): Promise<bigint | undefined> {
    const { replica } = this;
    const { clock, tuning } = replica;
    const now = clock.monotonic();
    this.askedAt = Math.max(now, this.askedAt + PAUSE_HEARTBEATS * tuning.heartbeatMs);
    if (this.askedAt > now) await clock.sleep(this.askedAt - now);
    const { commitIndex, configuration, entries } = replica;
    if (configuration === undefined || commitIndex === 0n || entries.last.index > commitIndex)
      return undefined;
    const covered = new Set([replica.id]);
    const isConfirmed = (): boolean => isQuorum(configuration, ({ replicaId }) => covered.has(replicaId));
    const others = configuration.voters.filter(({ replicaId }) => replicaId !== replica.id);
    let remaining = others.length;
    await new Promise<void>((resolve) => {
      const cancel = replica.clock.after(MAX_WAIT_HEARTBEATS * replica.tuning.heartbeatMs, resolve);
      for (const voter of others) {
        void this.isCovered(voter, commitIndex).then((isCovered) => {
          if (isCovered) covered.add(voter.replicaId);
          remaining -= 1;
          if (remaining > 0 && !isConfirmed()) return;
          cancel();
          resolve();
        });
      }
      if (isConfirmed()) resolve();
    });
    return isConfirmed() ? commitIndex : undefined;
  }

  /** Whether a voter, and not another replica at its address, has no entry beyond an index. */
  private async isCovered(voter: Voter, index: bigint): Promise<boolean> {
    const answer = await this.joining.identify(voter.address);
    const lastIndex = answer?.lastIndex;
    return answer?.replica?.replicaId === voter.replicaId && lastIndex !== undefined && lastIndex <= index;
  }
}
