/** A turn that is held: renewed until it is given back, and known to be lost when it is. */
import type { Clock, Fault } from '@jasmineroute/core';
import type { TakeRequest } from '@jasmineroute/directory';
import type { Result } from 'neverthrow';

/** How long a turn lasts without being renewed, unless its taker wishes otherwise. */
export const TURN_TTL_MS = 10_000;

/** Renewals in the time of a turn: three may be lost. */
const RENEWALS = 4;

/** Longest wait for an answer. */
const CALL_TIMEOUT_MS = 2_000;

/** Stops acting this part of a turn's time before its end: an order must not leave at its last moment. */
const MARGIN = 0.1;

/** What gives turns: control's quorum. */
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

/** Who takes a turn, and which. */
export interface TurnWish {
  readonly name: string;
  readonly holder: string;
  readonly incarnation: bigint;
  readonly limit: number;
  /** How long it lasts without being renewed, milliseconds; `TURN_TTL_MS` when absent. */
  readonly ttlMs?: number;
}

/** A turn that was granted. */
export class Turn {
  private readonly ended = new AbortController();

  private constructor(
    private readonly source: TurnSource,
    private readonly clock: Clock,
    private readonly wish: TurnWish,
    readonly fence: bigint,
    private until: number,
    private readonly ttlMs: number,
  ) {}

  /** Aborts when the turn is lost or given back. */
  get signal(): AbortSignal {
    return this.ended.signal;
  }

  /** Whether there is time left to act in. */
  get held(): boolean {
    return !this.ended.signal.aborted && this.clock.monotonic() < this.until - MARGIN * this.ttlMs;
  }

  /** Takes a turn. @returns undefined when others have it, or no quorum answers. */
  static async take(source: TurnSource, clock: Clock, wish: TurnWish): Promise<Turn | undefined> {
    // Counted from before the request left: the grant may be older than its answer.
    const asked = clock.monotonic();
    const ttlMs = wish.ttlMs ?? TURN_TTL_MS;
    const answer = await source.take({ ...wish, ttlMs }, CALL_TIMEOUT_MS);
    if (answer.isErr() || !answer.value.granted) return undefined;
    const turn = new Turn(source, clock, wish, answer.value.fence, asked + ttlMs, ttlMs);
    void turn.renew();
    return turn;
  }

  /**
   * Asks the quorum whether it is still held, and renews it. After a suspension the monotonic clock stood still, so that its
   * own time says nothing.
   */
  async confirm(): Promise<boolean> {
    if (!this.held) return false;
    const { clock, source, wish, ttlMs } = this;
    const asked = clock.monotonic();
    const answer = await source.take({ ...wish, ttlMs }, CALL_TIMEOUT_MS);
    if (answer.isErr()) return false;
    // Another fence is another grant: between the two, somebody else may have acted.
    const isSame = answer.value.granted && answer.value.fence === this.fence;
    if (isSame) this.until = Math.max(this.until, asked + ttlMs);
    else this.ended.abort(new Error('the turn was lost'));
    return isSame && this.held;
  }

  /** Renews it no more and does not give it back either: nobody else has it until its time is over. */
  lapse(): void {
    this.ended.abort(new Error('left to lapse'));
  }

  /** Gives the turn back. */
  async release(): Promise<void> {
    if (this.ended.signal.aborted) return;
    this.ended.abort(new Error('given back'));
    const { name, holder, incarnation } = this.wish;
    await this.source.release({ name, holder, incarnation }, CALL_TIMEOUT_MS);
  }

  private async renew(): Promise<void> {
    while (await this.pause()) {
      if (!this.held) {
        this.ended.abort(new Error('the turn has run out'));
        return;
      }
      await this.confirm();
    }
  }

  private async pause(): Promise<boolean> {
    await this.clock.sleep(this.ttlMs / RENEWALS, this.ended.signal).catch(() => undefined);
    return !this.ended.signal.aborted;
  }
}
