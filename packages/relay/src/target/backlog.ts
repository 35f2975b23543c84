/** Counts the prompt tokens that wait to be read at targets. */
import type { Clock } from '@jasmineroute/core';

/** Lifetime of another entry's report, milliseconds. Reports are repeated twice as often. */
const REPORT_TTL_MS = 1_000;

/** Prompt tokens of one entry that wait to be read at one target. */
export interface PromptWork {
  /** A target id, or the address of a store (host:port) for tokens that are fetched from it. */
  readonly targetId: string;
  readonly tokens: number;
}

/** A prompt waiting to be read. */
export interface QueuedPrompt {
  /** Marks the prompt as read: its first event has arrived. */
  readonly markRead: () => void;
  /** Removes the prompt because its request has ended, read or not. */
  readonly remove: () => void;
}

interface RemoteWork {
  readonly receivedAt: number;
  readonly byTarget: ReadonlyMap<string, number>;
}

/**
 * Pending work at targets, from this entry and from the reports of others. Fetches over a store's link are counted in
 * the same way, under the store's address.
 */
export class Backlog {
  /** This entry's pending tokens by target id. */
  private readonly own = new Map<string, number>();
  private readonly remoteWork = new Map<string, RemoteWork>();

  constructor(private readonly clock: Clock) {}

  /**
   * Adds a prompt with `tokens` to be read at a target; `onRead` is called if its first event arrives while it is
   * queued.
   */
  enqueue(id: string, tokens: number, onRead?: () => void): QueuedPrompt {
    this.add(id, tokens);
    let remaining = tokens;
    const remove = (): void => {
      this.add(id, -remaining);
      remaining = 0;
    };
    const markRead = (): void => {
      if (remaining > 0) onRead?.();
      remove();
    };
    return { markRead, remove };
  }

  /** Tokens that a target still has to read, from this entry and others. */
  tokensAt(id: string): number {
    const now = this.clock.monotonic();
    let tokens = this.own.get(id) ?? 0;
    for (const { receivedAt, byTarget } of this.remoteWork.values()) {
      if (now - receivedAt < REPORT_TTL_MS) tokens += byTarget.get(id) ?? 0;
    }
    return tokens;
  }

  /** This entry's pending tokens at each target that has any. */
  ownWork(): PromptWork[] {
    return [...this.own].map(([targetId, tokens]) => ({ targetId, tokens }));
  }

  /** Records another entry's report, which replaces its previous one. */
  recordRemote(entry: string, work: readonly PromptWork[]): void {
    const byTarget = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.remoteWork.set(entry, { receivedAt: this.clock.monotonic(), byTarget });
  }

  /** Drops the reports of entries that have stopped reporting. */
  dropExpired(): void {
    const now = this.clock.monotonic();
    for (const [entry, { receivedAt }] of this.remoteWork)
      if (now - receivedAt >= REPORT_TTL_MS) this.remoteWork.delete(entry);
  }

  private add(id: string, tokens: number): void {
    const sum = (this.own.get(id) ?? 0) + tokens;
    if (sum > 0) this.own.set(id, sum);
    else this.own.delete(id);
  }
}
