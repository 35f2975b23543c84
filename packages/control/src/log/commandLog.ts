/** The replicated log as the control role uses it; an interface, so that tests can replace the implementation. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';

/** A voting instance. */
export interface ReplicaAddress {
  readonly name: string;
  /** host:port. */
  readonly address: string;
}

/** Status of this replica. */
export interface LogStatus {
  readonly state: string;
  readonly term: bigint;
  readonly commitIndex: bigint;
  readonly lastApplied: bigint;
  /** Name of the leader; undefined when unknown. */
  readonly leader?: string;
  /** Whether this replica is in touch with a quorum. */
  readonly vouched: boolean;
  /** Why its storage fails; undefined while it works. */
  readonly storageFailure?: string;
}

/** Whether the state may be reported: during a replay of the log it passes through outdated states. */
export const isCaughtUp = ({ vouched, lastApplied, commitIndex }: LogStatus): boolean =>
  vouched || lastApplied >= commitIndex;

/** One row of the status report on all replicas. */
export interface LogReplica extends ReplicaAddress {
  readonly replicaId: string;
  readonly state: string;
  readonly term: bigint;
  readonly commitIndex: bigint;
  /** False when the replica did not answer; the fields above are meaningless then. */
  readonly reachable: boolean;
  readonly vouched: boolean;
  /** Why its storage fails; empty while it works. */
  readonly storageFailure?: string;
}

/** A replicated, durable log that applies its entries to a state machine. */
export interface CommandLog {
  /** Registers the services that replicas call on each other. */
  routes(router: ConnectRouter): void;
  /** Starts the replica; `address` is this process's own, host:port. */
  start(address: string): Promise<void>;
  /** Resolves with the outcome of applying the command, once a quorum holds it. */
  propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>>;
  /** Resolves with the answer to a read-only command; it reflects all commands accepted before the call. */
  query(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>>;
  status(): LogStatus;
  onStatus(listener: () => void): () => void;
  onApplied(listener: (index: bigint) => void): () => void;
  /** Known voters and learners. */
  members(): readonly ReplicaAddress[];
  /** Known voters. */
  voters(): readonly ReplicaAddress[];
  /** Adds a voter, or re-adds one that has a new disk; only the leader does so. */
  enlist(replica: ReplicaAddress): Promise<Result<void, Fault>>;
  changeReplicas(wanted: ReplicaAddress[]): Promise<Result<void, Fault>>;
  replicas(): Promise<LogReplica[]>;
  close(): Promise<void>;
}
