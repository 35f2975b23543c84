/** A held turn: a lease with a fencing number that is renewed until it is released, lost or left to expire. */
import type { Clock, Fault } from '@jasmineroute/core';
import type { TakeRequest } from '@jasmineroute/directory';
import type { Result } from 'neverthrow';

/** Default lease time of a turn. */
export const TURN_TTL_MS = 10_000;

/** Renewals per lease time: three may be lost. */
const RENEWALS_PER_TTL = 4;

/** Timeout of a call to the control instances. */
const CALL_TIMEOUT_MS = 2_000;

/** Fraction of the lease time before its end in which the turn no longer counts as held, so that no order is sent late. */
const EXPIRY_MARGIN = 0.1;

/** Grants turns; in production, a quorum of control instances. */
export interface TurnSource {
  take(
    request: TakeRequest,
    timeoutMs: number,
  ): Promise<Result<{ readonly granted: boolean; readonly fence: bigint }, Fault>>;
  release(
    request: { readonly name: string; readonly holder: string; readonly incarnation: bigint },
    timeoutMs: number,
  ): Promise<Result<void, Fault>>;
}

/** Which turn to take, and for which holder. */
export interface TurnRequest {
  readonly name: string;
  readonly holder: string;
  readonly incarnation: bigint;
  /** Most holders at once. */
  readonly limit: number;
  /** Lease time, milliseconds; `TURN_TTL_MS` when absent. */
  readonly ttlMs?: number;
}

/** A granted turn. */
export class Turn {
  private readonly ended = new AbortController();

  private constructor(
    private readonly source: TurnSource,
    private readonly clock: Clock,
    private readonly request: TurnRequest,
    readonly fence: bigint,
    private expiresAt: number,
    private readonly ttlMs: number,
  ) {}

  /** Aborts when the turn is lost, released or left to expire. */
  get signal(): AbortSignal {
    return this.ended.signal;
  }

  /** Whether the holder may still act under the turn. */
  get held(): boolean {
    return !this.ended.signal.aborted && this.clock.monotonic() < this.expiresAt - EXPIRY_MARGIN * this.ttlMs;
  }

  /** Takes a turn. @returns undefined when others hold it or no quorum answers. */
  static async take(source: TurnSource, clock: Clock, request: TurnRequest): Promise<Turn | undefined> {
    // The lease is counted from before the request was sent, as the grant is older than its answer.
    const requestedAt = clock.monotonic();
    const ttlMs = request.ttlMs ?? TURN_TTL_MS;
    const answer = await source.take({ ...request, ttlMs }, CALL_TIMEOUT_MS);
    if (answer.isErr() || !answer.value.granted) return undefined;
    const turn = new Turn(source, clock, request, answer.value.fence, requestedAt + ttlMs, ttlMs);
    void turn.renew();
    return turn;
  }

  /**
   * Renews the turn and returns whether it is still held. Needed after the machine was suspended: the monotonic
   * clock stood still meanwhile, so the local expiry time cannot be relied on.
   */
  async confirm(): Promise<boolean> {
    if (!this.held) return false;
    const { clock, source, request, ttlMs } = this;
    const requestedAt = clock.monotonic();
    const answer = await source.take({ ...request, ttlMs }, CALL_TIMEOUT_MS);
    if (answer.isErr()) return false;
    // A different fence means a new grant: another holder may have acted in between.
    const isSame = answer.value.granted && answer.value.fence === this.fence;
    if (isSame) this.expiresAt = Math.max(this.expiresAt, requestedAt + ttlMs);
    else this.ended.abort(new Error('the turn was lost'));
    return isSame && this.held;
  }

  /** Stops renewing without releasing: no other holder gets the turn until the lease expires. */
  letExpire(): void {
    this.ended.abort(new Error('the turn was left to expire'));
  }

  /** Releases the turn. */
  async release(): Promise<void> {
    if (this.ended.signal.aborted) return;
    this.ended.abort(new Error('the turn was released'));
    const { name, holder, incarnation } = this.request;
    await this.source.release({ name, holder, incarnation }, CALL_TIMEOUT_MS);
  }

  private async renew(): Promise<void> {
    while (await this.pause()) {
      if (!this.held) {
        this.ended.abort(new Error('the turn expired'));
        return;
      }
      await this.confirm();
    }
  }

  private async pause(): Promise<boolean> {
    await this.clock.sleep(this.ttlMs / RENEWALS_PER_TTL, this.ended.signal).catch(() => undefined);
    return !this.ended.signal.aborted;
  }
}
