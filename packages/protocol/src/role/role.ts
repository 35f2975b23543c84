/** What the daemon asks of a role, and what it gives it. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { Peers } from '../transport/index.js';

/** What every role is made with. */
export interface RoleContext {
  readonly name: string;
  /** New for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  readonly dataCentre: string;
  /** Folder for state that lasts; absent on instances without a disk. */
  readonly dataFolder?: string;
  /** Addresses of control instances, host:port. */
  readonly controls: readonly string[];
  readonly clock: Clock;
  readonly stalls: StallWatch;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly peers: Peers;
  /** Asks the process to stop as a signal would: it can't go on, for a reason that goes to the log. */
  readonly stop?: (reason: string) => void;
}

/** Whether the platform should send work here. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string;
}

/** A role's life in a process: routes, start, drain, close, in this order. */
export interface RoleProcess {
  /** Adds its services to the process's RPC server. */
  routes(router: ConnectRouter): void;
  /** Starts work; `address` is the process's own RPC address, host:port. */
  start(address: string): Promise<void>;
  readiness(): Readiness;
  /** Planned stop: takes no new work, resolves once all that it has is finished. */
  drain(): Promise<void>;
  /** Stops at once. */
  close(): Promise<void>;
}
