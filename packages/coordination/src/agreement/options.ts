/** Options of a replicated log. */
import type { Transport } from '@connectrpc/connect';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import * as z from 'zod';
import type { Disk } from '../storage/index.js';
import type { StateMachine } from './stateMachine.js';

/** A replica's name and where it listens, host:port. */
export interface ReplicaAddress {
  readonly name: string;
  readonly address: string;
}

const milliseconds = (initial: number) => z.number().positive().default(initial);
const count = (initial: number) => z.number().int().positive().default(initial);

/** Times and sizes, with defaults for replicas some milliseconds apart. */
export const tuning = z.object({
  heartbeatMs: milliseconds(100).describe('a leader is heard from this often'),
  commitNoticeMs: milliseconds(5).describe('a commit is told after so long when no entry carries it before'),
  electionMinMs: milliseconds(500).describe('shortest silence before an election'),
  electionMaxMs: milliseconds(1_000).describe('longest silence before an election after one that was lost'),
  firstElectionMs: milliseconds(100).describe('wait of the first voter for a leader after a start'),
  electionStepMs: milliseconds(250).describe('each further voter waits so much longer'),
  electionSpreadMs: milliseconds(50).describe('random part of the wait'),
  rpcTimeoutMs: milliseconds(500).describe('a call without an answer for so long loses its connection'),
  slowRpcTimeoutMs: milliseconds(1_500).describe('the same where answers have taken long before'),
  quorumWindowMs: milliseconds(1_500).describe('a leader without answers of a quorum for so long steps down'),
  vouchWindowMs: milliseconds(1_200).describe('a replica without contact for so long vouches no longer'),
  silentMs: milliseconds(3_000).describe(
    'a voter without an answer for so long counts as lost; a process that is killed is back sooner',
  ),
  lossesToBear: z
    .number()
    .int()
    .min(0)
    .default(1)
    .describe('voters that may be lost at once; where no more than twice as many vote, a warning is logged'),
  storageRestMs: milliseconds(10_000).describe('after a storage error, no candidacy for so long'),
  reconfigureMs: milliseconds(250).describe('pause between steps of a change of replicas'),
  changeTimeoutMs: milliseconds(30_000).describe('longest wait of a change of replicas'),
  joinMs: milliseconds(200).describe('pause between attempts of an empty replica to join'),
  maxBatchEntries: count(512).describe('entries in one message or write'),
  maxBatchBytes: count(1_048_576).describe(
    'bytes in one write, and in all appends to one replica without an answer yet; a longer entry goes alone',
  ),
  maxInFlight: count(8).describe('appends to one replica without an answer yet'),
  leastBytesPerMs: count(500).describe(
    'an answer is waited for longer by the bytes under way, at this speed',
  ),
  maxPending: count(10_000).describe('commands waiting at the leader; more are refused'),
  maxUncommittedBytes: count(4_194_304).describe(
    'bytes of commands that no quorum has yet, from which on the leader refuses more',
  ),
  pieceBytes: count(262_144).describe('bytes of one piece of a snapshot'),
  snapshotEntries: count(4_096).describe('a snapshot is taken after so many entries'),
  snapshotBytes: count(16_777_216).describe('a snapshot is taken after so many bytes of commands'),
  retainedEntries: count(1_024).describe('entries kept behind a snapshot for replicas that lag'),
  retainedBytes: count(4_194_304).describe('bytes of commands in these entries'),
  groupCommit: z.boolean().default(true).describe('one sync and message for all commands at hand'),
});

/** Parsed form of `tuning`. */
export type Tuning = z.output<typeof tuning>;

/** What a replicated log is opened with. */
export interface ReplicatedLogOptions extends Partial<Tuning> {
  /** Name of this replica, one of `initialReplicas` or added later. */
  readonly name: string;
  /** Folder for its state. The folder above must exist. */
  readonly folder: string;
  /** Replicas of the first start, this one included; the same list on all of them. */
  readonly initialReplicas: readonly ReplicaAddress[];
  /** The transport to host:port. Asked anew for each call. */
  readonly connect: (address: string) => Transport;
  /** Cuts the connection to host:port; the next `connect` gives a new one. */
  readonly drop: (address: string) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics?: Metrics;
  readonly stateMachine: StateMachine;
  /** File system; the machine's own when absent. */
  readonly disk?: Disk;
  /**
   * Called when a task of the replica has met a bug. The replica has stopped for good and its vote is missing: end the process,
   * or close the log and open it again.
   */
  readonly onFailure?: (error: unknown) => void;
  /** Random numbers in [0, 1) for election timeouts. */
  readonly random?: () => number;
}
