/** Reads without the leader: up to the last entry that a quorum holds. */
import { isQuorum, quorumOf } from './configuration.js';
import type { Joining } from './joining.js';
import type { Replica } from './replica.js';
import type { Configuration, Voter } from '../gen/agreement/agreement_pb.js';

/** Shortest time between two questions, in heartbeat intervals: they must not add to a load that keeps the replicas from a leader. */
const PAUSE_HEARTBEATS = 2;

/** An index that no log reaches. */
const NEVER = 2n ** 64n;

/** What a read has to reflect. */
export interface ReadPoint {
  /** All entries up to this index have to be applied. It falls with further answers, as any quorum will do. */
  readonly index: () => bigint;
  /** The configuration whose voters were asked. The read fails if another one is in force once the entries are applied. */
  readonly configuration: Configuration;
}

/**
 * Finds out without the leader which entries a read has to reflect. Commands and votes need a leader and disks, a read does not: where
 * the leader is slow, lost or can't be elected, a quorum can still answer.
 *
 * Every entry that was committed before the question is in the log of one of any quorum of the voters. So a replica that has applied
 * all entries up to the last one that a quorum holds has applied all of them. What it has applied is committed, whoever leads.
 * The quorum is one of the newest configuration that this replica knows to be committed. A later one has a quorum in common with it
 * and holds the change itself, which is then among these entries: the replica finds the other configuration, and asks again.
 */
export class QuorumRead {
  /** The question that is not sent yet. */
  private next: Promise<ReadPoint | undefined> | undefined;
  /** Monotonic time of the last question, which may be due. */
  private askedAt = -Infinity;

  constructor(
    private readonly replica: Replica,
    private readonly joining: Joining,
  ) {}

  /** What a read has to reflect; undefined without answers of a quorum. Calls share a question that is not sent yet. */
  point(): Promise<ReadPoint | undefined> {
    this.next ??= this.ask();
    return this.next;
  }

  /** Whether the configuration whose voters were asked is still the one in force. */
  isCurrent({ configuration }: ReadPoint): boolean {
    return this.replica.configuration === configuration;
  }

  private async ask(): Promise<ReadPoint | undefined> {
    const { replica } = this;
    const { clock, tuning } = replica;
    const now = clock.monotonic();
    this.askedAt = Math.max(now, this.askedAt + PAUSE_HEARTBEATS * tuning.heartbeatMs);
    await clock.sleep(this.askedAt - now);
    this.next = undefined;
    const { commitIndex, entries } = replica;
    const { configuration, index: configurationIndex } = entries.configuration();
    // Two leaders may have changed the same configuration: a change that is not committed may have no quorum in common with the other.
    if (configuration === undefined || commitIndex === 0n || configurationIndex > commitIndex)
      return undefined;
    const lastIndexes = new Map([[replica.id, entries.last.index]]);
    if (!(await this.askVoters(configuration, lastIndexes))) return undefined;
    return { index: () => lastOfQuorum(configuration, lastIndexes), configuration };
  }

  /** Collects the last indexes of the voters. Resolves with whether a quorum has answered; later answers are added as well. */
  private askVoters(configuration: Configuration, lastIndexes: Map<string, bigint>): Promise<boolean> {
    const { replica } = this;
    const others = configuration.voters.filter(({ replicaId }) => replicaId !== replica.id);
    let remaining = others.length;
    return new Promise((resolve) => {
      const check = (): void => {
        if (isQuorum(configuration, ({ replicaId }) => lastIndexes.has(replicaId))) resolve(true);
        else if (remaining === 0) resolve(false);
      };
      for (const voter of others) {
        void this.lastIndexOf(voter).then((index) => {
          remaining -= 1;
          if (index !== undefined) lastIndexes.set(voter.replicaId, index);
          check();
        });
      }
      check();
    });
  }

  /** The last index of a voter; undefined without an answer, or when another replica answers at its address. */
  private async lastIndexOf(voter: Voter): Promise<bigint | undefined> {
    const answer = await this.joining.identify(voter.address);
    return answer?.replica?.replicaId === voter.replicaId ? answer.lastIndex : undefined;
  }
}

/** The last index of the quorum with the shortest logs, of the voters whose last indexes are known. */
function lastOfQuorum({ voters }: Configuration, lastIndexes: ReadonlyMap<string, bigint>): bigint {
  const known = voters.flatMap(({ replicaId }) => lastIndexes.get(replicaId) ?? []);
  const ascending = known.sort((a, b) => (a < b ? -1 : a > b ? 1 : 0));
  return ascending[quorumOf(voters.length) - 1] ?? NEVER;
}
