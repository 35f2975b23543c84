/** Connection pools by target rather than by address, as an address may be reused by another target. */
import { Connections } from '@jasmineroute/engine';
import type { Target } from '@jasmineroute/knowledge';

/** Fraction of a target's connections kept free for health checks and for entries that have just started. */
const SPARE_SHARE = 0.1;

/** One entry's share of the connections that a target accepts from all entries together. */
export function connectionShare(maxConnections: number | undefined, entries: number): number | undefined {
  if (maxConnections === undefined) return undefined;
  return Math.max(1, Math.floor((maxConnections * (1 - SPARE_SHARE)) / entries));
}

/** Connection pools by target id. */
export class TargetPools {
  private readonly pools = new Map<string, Connections>();

  /** The pool of a target. `maxConnections` applies only when the pool is created. */
  poolFor(target: Target, maxConnections: number | undefined): Connections {
    const existing = this.pools.get(target.id);
    if (existing !== undefined) return existing;
    const created = new Connections(`http://${target.address}`, maxConnections);
    this.pools.set(target.id, created);
    return created;
  }

  /** Closes the pools of all targets that are not listed. */
  async retain(ids: ReadonlySet<string>): Promise<void> {
    const removed = [...this.pools].filter(([id]) => !ids.has(id));
    for (const [id] of removed) this.pools.delete(id);
    await Promise.all(removed.map(([, pool]) => pool.close()));
  }

  /** Closes all pools. */
  async close(): Promise<void> {
    await this.retain(new Set());
  }
}
