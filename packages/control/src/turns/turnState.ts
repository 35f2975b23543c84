/** Turns as replicated state: leases with a limit of holders and a fence that only grows. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import { MAX_STEP_MS } from '../state/index.js';
import type { CommandHandlers, Feature, LogTime } from '../state/index.js';

/** Longest lease, milliseconds. */
export const MAX_TTL_MS = 10 * 60_000;

/** Names that may be held at once. */
export const MAX_NAMES = 20_000;

/** A hundredth more time for the holder: clocks of two machines don't run equally fast. */
const DRIFT_DIVISOR = 100;

interface Lease {
  readonly holder: string;
  readonly incarnation: bigint;
  readonly fence: bigint;
  readonly expires: LogTime;
}

/**
 * When a lease granted at `now` ends. A holder counts its time from before it asked. The state's time may
 * stand up to one step behind that moment, and the next step would then end the lease early, with a second
 * holder beside the first: so one whole step is added.
 */
function leaseExpiry(now: LogTime, ttlMs: number): LogTime {
  const ttl = Math.min(ttlMs, MAX_TTL_MS);
  return now + MAX_STEP_MS + ttl + Math.ceil(ttl / DRIFT_DIVISOR);
}

/** Leases by name. They end by the state's time alone, so an isolated or paused instance can end none. */
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
    // An older start of the holder may still act, paused or cut off: the new one waits until its time is over.
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

  /** One count for all names: a name may be forgotten and its fences still only grow. */
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
