/**
 * Limits concurrent prefills at one target; used by the gate in front of it.
 *
 * An engine starts as many requests as it has slots. It prefills them one after another, but each holds its blocks from
 * the start, so that under load waiting requests evict the cached prefixes that they need themselves. Requests with the
 * same new prefix that are started together each compute it. Both show as recomputed tokens that grow with the queue.
 * Therefore only a few requests without a first token are sent to the engine. The others wait at the gate, for a time
 * that they would spend in the engine's queue anyway, and a request waits while another one computes blocks that it needs.
 */
import type { Cancellation, Clock } from '@jasmineroute/core';
import type { Chain } from '../prefix/index.js';
import { sharedBlocks } from '../prefix/index.js';

/** A request that has no first token yet. */
export interface PendingPrefill {
  readonly chain: Chain;
  /** Higher priorities are started first. */
  readonly priority: number;
  /** Expected duration of its own prefill, milliseconds. */
  readonly expectedMs: number;
}

/** Options of `PrefillTurns`. */
export interface PrefillTurnsOptions {
  readonly clock: Clock;
  /** Number of leading blocks of a chain that the target has cached now. */
  readonly cachedBlocks: (chain: Chain) => number;
  /** Maximum number of requests without a first token at the engine. */
  readonly maxConcurrent: number;
}

interface QueuedPrefill {
  readonly prefill: PendingPrefill;
  /** Resolves the promise of `wait`; undefined unless the request is waiting. */
  start?: () => void;
  /** Cancels the timeout of its turn. */
  cancelTimeout?: Cancellation;
}

/** Default limit: the engine has the next request queued when a prefill is done, so that it does not idle. */
export const MAX_CONCURRENT_PREFILLS = 2;

/**
 * Timeout of a turn: this factor times the expected prefill, plus a margin. A response that is not streamed has its
 * first byte only at its end, and must not hold the turn until then.
 */
const TURN_TIMEOUT_FACTOR = 2;
const TURN_TIMEOUT_MARGIN_MS = 150;

/** Minimum number of uncached blocks that a prompt must share with an active prefill to wait for it. */
const MIN_SHARED_BLOCKS = 8;

/** Schedules the requests of one target that have no first token yet. */
export class PrefillTurns {
  /** In order of arrival. */
  private readonly waiting = new Map<string, QueuedPrefill>();
  private readonly active = new Map<string, QueuedPrefill>();

  constructor(private readonly options: PrefillTurnsOptions) {}

  /** Adds a request that has arrived. */
  enter(attemptId: string, prefill: PendingPrefill): void {
    this.waiting.set(attemptId, { prefill });
  }

  /** Resolves when it is the turn of the request, or on abort. `leave` must be called in either case. */
  wait(attemptId: string, signal: AbortSignal): Promise<void> {
    const turn = this.waiting.get(attemptId);
    if (turn === undefined || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const onAbort = (): void => {
        turn.start = undefined;
        resolve();
      };
      turn.start = () => {
        signal.removeEventListener('abort', onAbort);
        resolve();
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.startNext();
    });
  }

  /** Removes a request that has its first token or has ended. Repeated calls have no effect. */
  leave(attemptId: string): void {
    this.active.get(attemptId)?.cancelTimeout?.();
    const known = this.waiting.delete(attemptId) || this.active.delete(attemptId);
    if (known) this.startNext();
  }

  /** Number of leading blocks of a chain that active or waiting requests compute. */
  pendingBlocks(chain: Chain): number {
    let blocks = 0;
    for (const turns of [this.active, this.waiting]) {
      for (const { prefill } of turns.values()) blocks = Math.max(blocks, sharedBlocks(prefill.chain, chain));
    }
    return blocks;
  }

  private startNext(): void {
    while (this.active.size < this.options.maxConcurrent) {
      const next = this.findNext();
      if (next === undefined) return;
      const [attemptId, turn] = next;
      this.waiting.delete(attemptId);
      this.active.set(attemptId, turn);
      const { start } = turn;
      turn.start = undefined;
      turn.cancelTimeout = this.options.clock.after(
        TURN_TIMEOUT_FACTOR * turn.prefill.expectedMs + TURN_TIMEOUT_MARGIN_MS,
        () => {
          this.leave(attemptId);
        },
      );
      start?.();
    }
  }

  /** Next request by priority, then by arrival, without those that wait for blocks of an active prefill. */
  private findNext(): [string, QueuedPrefill] | undefined {
    let best: [string, QueuedPrefill] | undefined;
    for (const entry of this.waiting) {
      const [, { prefill, start }] = entry;
      if (start === undefined) continue;
      if (best !== undefined && prefill.priority <= best[1].prefill.priority) continue;
      if (!this.isBeingComputed(prefill.chain)) best = entry;
    }
    return best;
  }

  /** Whether an active prefill computes blocks that a chain needs. */
  private isBeingComputed(chain: Chain): boolean {
    for (const { prefill } of this.active.values()) {
      const shared = sharedBlocks(prefill.chain, chain);
      if (shared < MIN_SHARED_BLOCKS) continue;
      if (shared >= this.options.cachedBlocks(chain) + MIN_SHARED_BLOCKS) return true;
    }
    return false;
  }
}
