/** Connection pools by target rather than by address, as an address may be reused by another target. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { Connections } from '@jasmineroute/engine';
import type { Target, TargetState } from '@jasmineroute/knowledge';
import { ConnectionQueue } from './connectionQueue.js';

/** Fraction of a target's connections kept free for health checks and for entries that have just started. */
const SPARE_SHARE = 0.1;

/** One entry's share of the connections that a target accepts from all entries together. */
export function connectionShare(maxConnections: number | undefined, entries: number): number | undefined {
  if (maxConnections === undefined) return undefined;
  return Math.max(1, Math.floor((maxConnections * (1 - SPARE_SHARE)) / entries));
}

/** The connections to one target. */
export interface TargetPool {
  readonly connections: Connections;
  /** Grants them. */
  readonly queue: ConnectionQueue;
}

/** Connection pools by target id. */
export class TargetPools {
  private readonly pools = new Map<string, TargetPool>();

  /** The pool of a target. `maxConnections` applies only when the pool is created. */
  poolFor(target: Target, maxConnections: number | undefined): TargetPool {
    const existing = this.pools.get(target.id);
    if (existing !== undefined) return existing;
    const connections = new Connections(`http://${target.address}`, maxConnections);
    const created = { connections, queue: new ConnectionQueue(maxConnections) };
    this.pools.set(target.id, created);
    return created;
  }

  /** Ends the wait of requests for a target that does not accept work any more. */
  giveBack(id: string, state: TargetState): void {
    this.pools.get(id)?.queue.giveBack(notAccepting(state));
  }

  /** Closes the pools of all targets that are not listed. */
  async retain(ids: ReadonlySet<string>): Promise<void> {
    const removed = [...this.pools].filter(([id]) => !ids.has(id));
    for (const [id] of removed) {
      this.giveBack(id, 'unknown');
      this.pools.delete(id);
    }
    await Promise.all(removed.map(([, { connections }]) => connections.close()));
  }

  /** Closes all pools. */
  async close(): Promise<void> {
    await this.retain(new Set());
  }
}

/** Fault of a request that was not sent because its target stopped accepting work. */
export function notAccepting(state: TargetState): Fault {
  return fault('target-leaving', `not sent: the state of the target is now ${state}`);
}
