/** The replicated log as the control role uses it: a port, so that tests can put another behind it. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';

/** A voting instance. */
export interface ReplicaAddress {
  readonly name: string;
  /** host:port. */
  readonly address: string;
}

/** What a replica knows of itself. */
export interface LogStatus {
  readonly state: string;
  readonly term: bigint;
  readonly commitIndex: bigint;
  readonly lastApplied: bigint;
  /** Name of the leader, when known. */
  readonly leader?: string;
  /** In touch with a quorum. */
  readonly vouched: boolean;
}

/** Whether the state may be told: while a log is replayed it passes through all that it once was. */
export const isCaughtUp = ({ vouched, lastApplied, commitIndex }: LogStatus): boolean =>
  vouched || lastApplied >= commitIndex;

/** One row of the report over all replicas. */
export interface LogReplica extends ReplicaAddress {
  readonly replicaId: string;
  readonly state: string;
  readonly term: bigint;
  readonly commitIndex: bigint;
  /** False: it did not answer, and the fields above say nothing. */
  readonly reachable: boolean;
  readonly vouched: boolean;
}

/** A replicated, durable log with a state machine behind it. */
export interface CommandLog {
  /** Adds the services between replicas. */
  routes(router: ConnectRouter): void;
  /** Starts work; `address` is this process's own, host:port. */
  start(address: string): Promise<void>;
  /** Resolves with the result of applying, once a quorum holds the command. */
  propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>>;
  /** Resolves with the answer to a command that changes nothing; all that was accepted before shows in it. */
  query(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, Fault>>;
  status(): LogStatus;
  onStatus(listener: () => void): () => void;
  onApplied(listener: (index: bigint) => void): () => void;
  /** Voters and learners, as far as known. */
  members(): readonly ReplicaAddress[];
  /** Adds a voter, or its new disk, to those there are; only the leader acts. */
  enlist(replica: ReplicaAddress): Promise<Result<void, Fault>>;
  changeReplicas(wanted: ReplicaAddress[]): Promise<Result<void, Fault>>;
  replicas(): Promise<LogReplica[]>;
  close(): Promise<void>;
}
