/** Interface between the daemon and the roles that it runs. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { Peers } from '../transport/index.js';

/** Context that every role is created with. */
export interface RoleContext {
  readonly name: string;
  /** Differs for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  readonly dataCentre: string;
  /** Folder for durable state; absent on instances without a disk. */
  readonly dataFolder?: string;
  /** Addresses of control instances, host:port. */
  readonly controls: readonly string[];
  readonly clock: Clock;
  readonly stalls: StallWatch;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly peers: Peers;
  /** Stops the process as a signal would, because it cannot continue; the reason is logged. */
  readonly stop?: (reason: string) => void;
  /** Tells what the making of the role waits for, or with undefined that it goes on. */
  readonly reportWait?: (waitsFor: string | undefined) => void;
}

/** Whether the platform should send requests to this instance. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string;
}

/** Lifecycle of a role in a process: routes, start, drain, close, in this order. */
export interface RoleProcess {
  /** Names of RPC services whose calls are handled before all others. */
  readonly urgentServices?: readonly string[];
  /** Registers its services with the process's RPC server. */
  routes(router: ConnectRouter): void;
  /** Starts the role; `address` is the process's own RPC address, host:port. */
  start(address: string): Promise<void>;
  readiness(): Readiness;
  /** Planned stop: accepts no new work, and resolves once all work in progress has finished. */
  drain(): Promise<void>;
  /** Stops at once. */
  close(): Promise<void>;
}
