/**
 * Turns of prefill at one target, kept by the gate beside it.
 *
 * What goes wrong: many requests with one new prefix arrive together, the engine starts them all, finds the
 * prefix of none in its cache, and computes it for each. Recomputed tokens show it. Here the first goes on and
 * the others wait for its first token, a time that they would spend in the engine's queue anyway.
 */
import type { Chain } from '../prefix/index.js';
import { sharedBlocks } from '../prefix/index.js';

/** A request before its first token. */
export interface PendingPrefill {
  readonly chain: Chain;
  /** Larger runs first. A request never waits for one of lower priority. */
  readonly priority: number;
}

interface Turn {
  readonly prefill: PendingPrefill;
  readonly waiters: Set<() => void>;
}

/** Blocks that a prompt must share with one under way, beyond the cached ones, to wait for it. */
const LEAST_SHARED_BLOCKS = 8;

/** Requests of one target that have no first token yet, in the order of their arrival. */
export class PrefillTurns {
  private readonly turns = new Map<string, Turn>();

  /** @param cachedBlocks blocks of a chain that the target has in its cache now. */
  constructor(private readonly cachedBlocks: (chain: Chain) => number) {}

  /** A request has arrived. */
  enter(attemptId: string, prefill: PendingPrefill): void {
    this.turns.set(attemptId, { prefill, waiters: new Set() });
  }

  /** Resolves when no earlier request is about to compute blocks that this one needs, or on abort. */
  async wait(attemptId: string, signal: AbortSignal): Promise<void> {
    for (;;) {
      const turn = this.turns.get(attemptId);
      if (turn === undefined || signal.aborted) return;
      const leader = this.leaderOf(turn);
      if (leader === undefined) return;
      await settledOf(leader, signal);
    }
  }

  /** Its first token came, or it ended before: those that wait for it go on. Twice changes nothing. */
  leave(attemptId: string): void {
    const turn = this.turns.get(attemptId);
    this.turns.delete(attemptId);
    for (const wake of turn?.waiters ?? []) wake();
  }

  /** Blocks of a chain that requests here are about to compute, counted from its start. */
  pendingBlocks(chain: Chain): number {
    let blocks = 0;
    for (const { prefill } of this.turns.values()) {
      blocks = Math.max(blocks, sharedBlocks(prefill.chain, chain));
    }
    return blocks;
  }

  private leaderOf(turn: Turn): Turn | undefined {
    const { chain, priority } = turn.prefill;
    const needed = this.cachedBlocks(chain) + LEAST_SHARED_BLOCKS;
    for (const other of this.turns.values()) {
      if (other === turn) return undefined;
      if (other.prefill.priority < priority) continue;
      if (sharedBlocks(other.prefill.chain, chain) >= needed) return other;
    }
    return undefined;
  }
}

function settledOf(leader: Turn, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      signal.removeEventListener('abort', wake);
      leader.waiters.delete(wake);
      resolve();
    };
    leader.waiters.add(wake);
    signal.addEventListener('abort', wake, { once: true });
  });
}
