/** Open claims: still running, or settled as possibly run. */
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import type { LogTime } from '../state/index.js';

/** An open claim, with the agent that can say whether the attempt ran. */
export interface OpenClaim {
  readonly attemptId: string;
  readonly agent: string;
  /** Hash of the request's fingerprint. */
  readonly fingerprint: string;
  readonly windowMs: number;
  readonly expires: LogTime;
  /** Settled as possibly run. */
  readonly unknown: boolean;
}

/** Open claims by key hash. */
export class OpenClaims {
  private claims = new Map<string, OpenClaim>();

  size(): number {
    return this.claims.size;
  }

  find(key: string): OpenClaim | undefined {
    return this.claims.get(key);
  }

  put(key: string, claim: OpenClaim): void {
    this.claims.set(key, claim);
  }

  remove(key: string): void {
    this.claims.delete(key);
  }

  /** Removes expired claims. */
  removeExpired(now: LogTime): void {
    for (const [key, { expires }] of this.claims) {
      if (expires <= now) this.claims.delete(key);
    }
  }

  snapshot(): stateMessage.OpenClaim[] {
    return [...this.claims].map(([key, claim]) =>
      create(stateMessage.OpenClaimSchema, {
        keyHash: Buffer.from(key, 'hex'),
        attemptId: claim.attemptId,
        agent: claim.agent,
        fingerprintHash: claim.fingerprint,
        windowMs: BigInt(claim.windowMs),
        expiresMs: BigInt(claim.expires),
        unknown: claim.unknown,
      }),
    );
  }

  restore(claims: readonly stateMessage.OpenClaim[]): void {
    this.claims = new Map();
    for (const { keyHash, attemptId, agent, fingerprintHash, windowMs, expiresMs, unknown } of claims) {
      const claim = { attemptId, agent, fingerprint: fingerprintHash, unknown };
      const times = { windowMs: Number(windowMs), expires: Number(expiresMs) };
      this.put(Buffer.from(keyHash).toString('hex'), { ...claim, ...times });
    }
  }
}
