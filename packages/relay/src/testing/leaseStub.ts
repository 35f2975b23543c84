/** Grants leases like a control instance, for tests. */
import { systemClock } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';

/** Leases with one holder each. */
export class LeaseStub {
  /** How often a lease was asked for. */
  asked = 0;
  /** Time until a lease is granted, milliseconds. */
  grantMs = 0;
  private readonly leases = new Map<string, { readonly holder: string; readonly expiresAt: number }>();

  /** Number of leases that are held. */
  get size(): number {
    return [...this.leases.keys()].filter((name) => this.holderOf(name) !== undefined).length;
  }

  async take({
    name,
    holder,
    ttlMs,
  }: controlMessage.TakeRequest): Promise<{ granted: boolean; fence: bigint }> {
    this.asked += 1;
    await systemClock.sleep(this.grantMs);
    const granted = this.holderOf(name) === undefined || this.holderOf(name) === holder;
    if (granted) this.leases.set(name, { holder, expiresAt: systemClock.monotonic() + ttlMs });
    return { granted, fence: 1n };
  }

  release({ name, holder }: controlMessage.ReleaseRequest): Record<string, never> {
    if (this.holderOf(name) === holder) this.leases.delete(name);
    return {};
  }

  private holderOf(name: string): string | undefined {
    const lease = this.leases.get(name);
    return lease !== undefined && lease.expiresAt > systemClock.monotonic() ? lease.holder : undefined;
  }
}
