/** Turns as replicated state: leases with a maximum number of holders and a monotonic fencing token. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import { MAX_STEP_MS } from '../state/index.js';
import type { CommandHandlers, Feature, LogTime } from '../state/index.js';

/** Longest lease, milliseconds. */
export const MAX_TTL_MS = 10 * 60_000;

/** Maximum number of names with leases. */
export const MAX_NAMES = 20_000;

/** A lease is extended by its hundredth part, as the clocks of two machines drift apart. */
const DRIFT_DIVISOR = 100;

interface Lease {
  readonly holder: string;
  readonly incarnation: bigint;
  readonly fence: bigint;
  readonly expires: LogTime;
}

/**
 * Log time at which a lease granted at `now` expires. A holder counts its lease from before its request. The log time may be up
 * to one step behind that moment; the next step would end the lease early and allow a second holder, so one step is added.
 */
function leaseExpiry(now: LogTime, ttlMs: number): LogTime {
  const ttl = Math.min(ttlMs, MAX_TTL_MS);
  return now + MAX_STEP_MS + ttl + Math.ceil(ttl / DRIFT_DIVISOR);
}

/** Leases by name. Only the log time ends them, so an isolated or paused instance can't end a lease. */
export class TurnState implements Feature {
  private lastFence = 0n;
  private readonly leasesByName = new Map<string, Lease[]>();

  readonly handlers: CommandHandlers = {
    take: (request, now) => ({ case: 'take', value: this.take(request, now) }),
    release: (request) => ({ case: 'release', value: this.release(request) }),
  };

  advanceTo(now: LogTime): void {
    for (const [name, leases] of this.leasesByName)
      this.setLeases(
        name,
        leases.filter(({ expires }) => expires > now),
      );
  }

  hasPendingExpiry(): boolean {
    return this.leasesByName.size > 0;
  }

  snapshot(): Uint8Array {
    const turns = [...this.leasesByName].flatMap(([name, leases]) =>
      leases.map((lease) => recordOf(name, lease)),
    );
    const snapshot = create(stateMessage.TurnsSnapshotSchema, { lastFence: this.lastFence, turns });
    return toBinary(stateMessage.TurnsSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array): void {
    const snapshot = fromBinary(stateMessage.TurnsSnapshotSchema, data);
    this.lastFence = snapshot.lastFence;
    this.leasesByName.clear();
    for (const { name, holder, incarnation, fence, expiresMs } of snapshot.turns) {
      const lease = { holder, incarnation, fence, expires: Number(expiresMs) };
      this.leasesByName.set(name, [...(this.leasesByName.get(name) ?? []), lease]);
    }
  }

  private take(request: controlMessage.TakeRequest, now: LogTime): controlMessage.TakeResponse {
    const leases = this.leasesByName.get(request.name) ?? [];
    const own = leases.find((lease) => lease.holder === request.holder);
    // An older start of the holder may be paused or isolated and still act, so the new one waits until the lease expires.
    if (own !== undefined && own.incarnation !== request.incarnation) return refusal();
    if (own === undefined && !this.isWithinLimits(request, leases)) return refusal();
    const lease = {
      holder: request.holder,
      incarnation: request.incarnation,
      fence: own?.fence ?? this.nextFence(),
      expires: Math.max(own?.expires ?? 0, leaseExpiry(now, request.ttlMs)),
    };
    this.leasesByName.set(request.name, [...leases.filter((other) => other !== own), lease]);
    return create(controlMessage.TakeResponseSchema, { granted: true, fence: lease.fence });
  }

  private isWithinLimits(request: controlMessage.TakeRequest, leases: readonly Lease[]): boolean {
    if (leases.length === 0 && this.leasesByName.size >= MAX_NAMES) return false;
    return leases.length < request.limit;
  }

  private release(request: controlMessage.ReleaseRequest): controlMessage.ReleaseResponse {
    const leases = this.leasesByName.get(request.name) ?? [];
    const { holder, incarnation } = request;
    const others = leases.filter((lease) => lease.holder !== holder || lease.incarnation !== incarnation);
    this.setLeases(request.name, others);
    return create(controlMessage.ReleaseResponseSchema, {});
  }

  private setLeases(name: string, leases: Lease[]): void {
    if (leases.length > 0) this.leasesByName.set(name, leases);
    else this.leasesByName.delete(name);
  }

  /** One counter for all names, so that the fences of a name keep growing after its leases are removed. */
  private nextFence(): bigint {
    this.lastFence += 1n;
    return this.lastFence;
  }
}

function refusal(): controlMessage.TakeResponse {
  return create(controlMessage.TakeResponseSchema, { granted: false });
}

function recordOf(name: string, lease: Lease): stateMessage.TurnRecord {
  const { holder, incarnation, fence } = lease;
  const expiresMs = BigInt(lease.expires);
  return create(stateMessage.TurnRecordSchema, { name, holder, incarnation, fence, expiresMs });
}
