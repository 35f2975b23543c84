/** Options of a replicated log. */
import type { Transport } from '@connectrpc/connect';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import * as z from 'zod';
import type { Disk, StartWait } from '../storage/index.js';
import type { StateMachine } from './stateMachine.js';

/** A replica's name and where it listens, host:port. */
export interface ReplicaAddress {
  readonly name: string;
  readonly address: string;
}

const milliseconds = (defaultMs: number) => z.number().positive().default(defaultMs);
const count = (defaultCount: number) => z.number().int().positive().default(defaultCount);

/** Timeouts and limits, with defaults for network latencies of a few milliseconds. */
export const tuning = z.object({
  heartbeatMs: milliseconds(100).describe('interval between heartbeats of a leader'),
  commitNoticeMs: milliseconds(5).describe('delay before a new commit index is sent without entries'),
  electionMinMs: milliseconds(500).describe('shortest time without a leader before an election'),
  electionMaxMs: milliseconds(1_000).describe(
    'longest time without a leader before an election that follows a lost one',
  ),
  firstElectionMs: milliseconds(100).describe('election timeout of the first voter after a start'),
  electionStepMs: milliseconds(250).describe('additional election timeout of each further voter'),
  electionSpreadMs: milliseconds(50).describe('random part of the election timeout'),
  rpcTimeoutMs: milliseconds(500).describe('shortest timeout of a call; its connection is dropped then'),
  slowRpcTimeoutMs: milliseconds(1_500).describe(
    'longest timeout of a call to a replica with slow responses',
  ),
  quorumWindowMs: milliseconds(1_500).describe(
    'time without answers from a quorum after which a leader steps down',
  ),
  vouchWindowMs: milliseconds(1_200).describe(
    'time without contact after which a replica no longer vouches for its state',
  ),
  silentMs: milliseconds(3_000).describe(
    'time without an answer after which a voter counts as lost; longer than the restart of a killed process',
  ),
  lossesToBear: z
    .number()
    .int()
    .min(0)
    .default(1)
    .describe(
      'number of simultaneous losses to tolerate; with no more than twice as many voters, a warning is logged',
    ),
  storageRestMs: milliseconds(10_000).describe(
    'time after a storage error in which a replica stands for election after the others, or lets them take over as the leader',
  ),
  storageRetryMs: milliseconds(100).describe(
    'pause before the first attempt to make a failing storage work; doubled with each further one',
  ),
  maxStorageRetryMs: milliseconds(1_000).describe('longest pause between these attempts'),
  storageHangMs: milliseconds(1_000).describe(
    'time after which a call to the disk that has not returned counts as failed; longer for many bytes',
  ),
  reconfigureMs: milliseconds(250).describe('pause between steps of a membership change'),
  changeTimeoutMs: milliseconds(30_000).describe('timeout of a membership change'),
  joinMs: milliseconds(200).describe('pause between attempts of an empty replica to join'),
  maxBatchEntries: count(512).describe('maximum number of entries in one message or write'),
  maxBatchBytes: count(1_048_576).describe(
    'maximum bytes in one write, and in all appends in flight to one replica; a longer entry is sent alone',
  ),
  maxInFlight: count(8).describe('maximum number of appends in flight to one replica'),
  leastBytesPerMs: count(500).describe(
    'slowest expected transfer rate, by which timeouts are extended for the bytes in flight',
  ),
  maxPending: count(10_000).describe('maximum number of commands queued at the leader; more are refused'),
  maxUncommittedBytes: count(4_194_304).describe(
    'bytes of uncommitted commands from which on the leader refuses more',
  ),
  pieceBytes: count(262_144).describe('size of one piece of a snapshot in bytes'),
  maxFolderBytes: z
    .number()
    .int()
    .positive()
    .optional()
    .describe('bytes that the folder may hold, from which limits on its parts follow; unbounded when absent'),
  snapshotEntries: count(4_096).describe('number of entries after which a snapshot is taken'),
  snapshotBytes: count(16_777_216).describe('bytes of entries after which a snapshot is taken at the latest'),
  retainedEntries: count(1_024).describe(
    'number of entries covered by a snapshot that are retained for lagging replicas',
  ),
  retainedBytes: count(4_194_304).describe('maximum bytes of commands in these entries'),
  groupCommit: z.boolean().default(true).describe('one sync and one message for all queued commands'),
});

/** Parsed form of `tuning`. */
export type Tuning = z.output<typeof tuning>;

/** Options to open a replicated log. */
export interface ReplicatedLogOptions extends Partial<Tuning> {
  /** Name of this replica, one of `initialReplicas` or added later. */
  readonly name: string;
  /** Folder for its state. The parent folder must exist. */
  readonly folder: string;
  /** Replicas that found the cluster, including this one; must be the same list on all of them. */
  readonly initialReplicas: readonly ReplicaAddress[];
  /** Returns the transport to host:port. Called for each request. */
  readonly connect: (address: string) => Transport;
  /** Closes the connection to host:port; the next `connect` returns a new one. */
  readonly drop: (address: string) => void;
  /** Bytes received over the connection to host:port; absent: unknown. One that receives any is not closed for a late answer. */
  readonly received?: (address: string) => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics?: Metrics;
  readonly stateMachine: StateMachine;
  /** File system; that of the operating system when absent. */
  readonly disk?: Disk;
  /** Called when the start waits for a call to the disk, and without a wait when that has returned. */
  readonly onStartWait?: (wait: StartWait | undefined) => void;
  /**
   * Called when a task of the replica threw an unexpected error. The replica has stopped and no longer votes: end the process,
   * or close the log and open it again.
   */
  readonly onFailure?: (error: unknown) => void;
  /** Random numbers in [0, 1) for election timeouts. */
  readonly random?: () => number;
}
