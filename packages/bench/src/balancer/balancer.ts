/** The platform's balancer as callers see it: only entries that say they are ready get new requests. */
import { systemClock } from '@jasmineroute/core';
import type { Member } from '@jasmineroute/testkit';

const CHECK_MS = 200;
const TIMEOUT_MS = 1_000;

/** Entries by turns, unready ones left out. */
export class Balancer {
  private readonly ready = new Map<string, boolean>();
  private next = 0;
  private stopped = false;

  constructor(private readonly entries: readonly Member[]) {
    for (const entry of entries) this.ready.set(entry.name, true);
  }

  /** Looks at the entries until stopped. */
  start(): void {
    for (const entry of this.entries) void this.watch(entry);
  }

  stop(): void {
    this.stopped = true;
  }

  /** The entry for the next request. All of them count when none is ready. */
  take(): Member {
    this.next += 1;
    const ready = this.entries.filter((entry) => this.ready.get(entry.name) === true);
    const pool = ready.length === 0 ? this.entries : ready;
    const entry = pool[this.next % pool.length];
    if (entry === undefined) throw new Error('no entries');
    return entry;
  }

  private async watch(entry: Member): Promise<void> {
    while (!this.stopped) {
      this.ready.set(entry.name, await isReady(entry));
      await systemClock.sleep(CHECK_MS);
    }
  }
}

async function isReady(entry: Member): Promise<boolean> {
  try {
    const answer = await fetch(`${entry.ownUrl}/readyz`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    return false;
  }
}
