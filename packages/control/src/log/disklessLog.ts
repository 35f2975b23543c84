/** The log of a control instance without a disk: it stores nothing and is in touch with no other replica. */
import type { ConnectRouter } from '@connectrpc/connect';
import { routesWithoutDisk } from '@jasmineroute/coordination';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandLog, LogReplica, LogStatus, ReplicaAddress } from './commandLog.js';

const STATUS: LogStatus = {
  state: 'removed',
  term: 0n,
  commitIndex: 0n,
  lastApplied: 0n,
  vouched: false,
};

/**
 * Keeps an instance without a disk running as a standby that is not ready, where the platform starts control on machines
 * without one: a process that exited at once would be restarted again and again, and the other instances would wait for
 * it.
 */
export class DisklessLog implements CommandLog {
  private address = '';

  constructor(private readonly name: string) {}

  routes(router: ConnectRouter): void {
    routesWithoutDisk(router, this.name, () => this.address);
  }

  start(address: string): Promise<void> {
    this.address = address;
    return Promise.resolve();
  }

  propose(): Promise<Result<Uint8Array, Fault>> {
    return Promise.resolve(err(fault('no-quorum', 'this instance has no disk', { ran: 'not-run' })));
  }

  query(): Promise<Result<Uint8Array, Fault>> {
    return this.propose();
  }

  status(): LogStatus {
    return STATUS;
  }

  /** Nothing ever changes. */
  onStatus(): () => void {
    return () => undefined;
  }

  /** Nothing is ever applied. */
  onApplied(): () => void {
    return () => undefined;
  }

  members(): readonly ReplicaAddress[] {
    return [];
  }

  voters(): readonly ReplicaAddress[] {
    return [];
  }

  enlist(): Promise<Result<void, Fault>> {
    return Promise.resolve(err(fault('not-leader', 'this instance has no disk')));
  }

  changeReplicas(): Promise<Result<void, Fault>> {
    return this.enlist();
  }

  replicas(): Promise<LogReplica[]> {
    return Promise.resolve([]);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
