/** Connections to targets, by target and not by address: an address is given to another target later. */
import { Connections } from '@jasmineroute/engine';
import type { Target } from '@jasmineroute/knowledge';

/** Connections kept free at a target for health checks and for an entry that has just started. */
const SPARE_SHARE = 0.1;

/** Connections of one target for one entry, out of those that the target takes from all entries together. */
export function connectionShare(most: number | undefined, entries: number): number | undefined {
  if (most === undefined) return undefined;
  return Math.max(1, Math.floor((most * (1 - SPARE_SHARE)) / entries));
}

/** Pools of connections by target id. */
export class TargetPools {
  private readonly pools = new Map<string, Connections>();

  /** The connections to a target; `most` holds for a pool that is made now. */
  of(target: Target, most: number | undefined): Connections {
    const known = this.pools.get(target.id);
    if (known !== undefined) return known;
    const made = new Connections(`http://${target.address}`, most);
    this.pools.set(target.id, made);
    return made;
  }

  /** Cuts the connections to targets that are gone. */
  async keep(ids: ReadonlySet<string>): Promise<void> {
    const gone = [...this.pools].filter(([id]) => !ids.has(id));
    for (const [id] of gone) this.pools.delete(id);
    await Promise.all(gone.map(([, pool]) => pool.close()));
  }

  /** Cuts all connections. */
  async close(): Promise<void> {
    await this.keep(new Set());
  }
}
