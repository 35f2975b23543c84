/**
 * Turns of prefill at one target, kept by the gate beside it.
 *
 * What goes wrong: an engine starts as many requests as it has places. It prefills them one after the other all
 * the same, but each holds its blocks from its start on, so that under load the waiting ones push out the cached
 * prefixes that they themselves need; and requests with one new prefix, started together, each compute it.
 * Recomputed tokens that grow with the queue show it. Here only a few requests are sent to the engine before
 * their first token; the others wait at the gate, a time that they would spend in the engine's queue anyway, and
 * a request waits for another one that is computing blocks that it needs.
 */
import type { Cancellation, Clock } from '@jasmineroute/core';
import type { Chain } from '../prefix/index.js';
import { sharedBlocks } from '../prefix/index.js';

/** A request before its first token. */
export interface PendingPrefill {
  readonly chain: Chain;
  /** Larger goes first. */
  readonly priority: number;
  /** Milliseconds that its own prefill is expected to take. */
  readonly expectedMs: number;
}

/** What turns are made with. */
export interface PrefillTurnsOptions {
  readonly clock: Clock;
  /** Blocks of a chain that the target has in its cache now. */
  readonly cachedBlocks: (chain: Chain) => number;
  /** Requests that may be at the engine before their first token: enough that it never idles. */
  readonly atOnce: number;
}

interface Turn {
  readonly prefill: PendingPrefill;
  /** Lets it go on; undefined until it waits, and once it goes. */
  start?: () => void;
  /** Calls off the end of its turn. */
  calledOff?: Cancellation;
}

/** Requests at the engine before their first token: the next one is at hand when one is done. */
export const PREFILLS_AT_ONCE = 2;

/**
 * Longest turn: this many times the expected prefill, and some. An answer that does not stream shows its first
 * byte only at its end, and must not hold the turn until then.
 */
const LONGEST_TURN = 2;
const LONGEST_TURN_MS = 150;

/** Blocks that a prompt must share with one that is computed, beyond the cached ones, to wait for it. */
const LEAST_SHARED_BLOCKS = 8;

/** Requests of one target that have no first token yet. */
export class PrefillTurns {
  /** In the order of their arrival. */
  private readonly waiting = new Map<string, Turn>();
  private readonly going = new Map<string, Turn>();

  constructor(private readonly options: PrefillTurnsOptions) {}

  /** A request has arrived. */
  enter(attemptId: string, prefill: PendingPrefill): void {
    this.waiting.set(attemptId, { prefill });
  }

  /** Resolves when it is the request's turn, or on abort. Call `leave` in either case. */
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
      this.grant();
    });
  }

  /** Its first token came, or it ended before. Twice changes nothing. */
  leave(attemptId: string): void {
    this.going.get(attemptId)?.calledOff?.();
    const known = this.waiting.delete(attemptId) || this.going.delete(attemptId);
    if (known) this.grant();
  }

  /** Blocks of a chain that requests here compute or are about to, counted from its start. */
  pendingBlocks(chain: Chain): number {
    let blocks = 0;
    for (const turns of [this.going, this.waiting]) {
      for (const { prefill } of turns.values()) blocks = Math.max(blocks, sharedBlocks(prefill.chain, chain));
    }
    return blocks;
  }

  private grant(): void {
    while (this.going.size < this.options.atOnce) {
      const next = this.next();
      if (next === undefined) return;
      const [attemptId, turn] = next;
      this.waiting.delete(attemptId);
      this.going.set(attemptId, turn);
      const { start } = turn;
      turn.start = undefined;
      turn.calledOff = this.options.clock.after(
        LONGEST_TURN * turn.prefill.expectedMs + LONGEST_TURN_MS,
        () => {
          this.leave(attemptId);
        },
      );
      start?.();
    }
  }

  /** The highest priority first, then the first to arrive, of those that need not wait for another one. */
  private next(): [string, Turn] | undefined {
    let best: [string, Turn] | undefined;
    for (const entry of this.waiting) {
      const [, { prefill, start }] = entry;
      if (start === undefined) continue;
      if (best !== undefined && prefill.priority <= best[1].prefill.priority) continue;
      if (!this.isBeingComputed(prefill.chain)) best = entry;
    }
    return best;
  }

  /** Whether a request at the engine computes blocks that a chain needs. */
  private isBeingComputed(chain: Chain): boolean {
    for (const { prefill } of this.going.values()) {
      const shared = sharedBlocks(prefill.chain, chain);
      if (shared < LEAST_SHARED_BLOCKS) continue;
      if (shared >= this.options.cachedBlocks(chain) + LEAST_SHARED_BLOCKS) return true;
    }
    return false;
  }
}
