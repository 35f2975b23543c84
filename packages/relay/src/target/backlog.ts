/** Tokens of prompts that wait at targets to be read. */
import type { Clock } from '@jasmineroute/core';

/** Work told by another entry is believed for so long, milliseconds: it is told again twice as often. */
const TOLD_LASTS_MS = 1_000;

/** Tokens of prompts that wait at one target to be read, of one entry. */
export interface PromptWork {
  /** Or the address of a store, host:port, for what is fetched from it. */
  readonly targetId: string;
  readonly tokens: number;
}

/** A prompt that waits to be read. */
export interface WaitingPrompt {
  /** It has been read: the first event came. */
  readonly read: () => void;
  /** Its request is over, read or not. */
  readonly forget: () => void;
}

interface Told {
  readonly at: number;
  readonly byTarget: ReadonlyMap<string, number>;
}

/**
 * What this entry has under way, and what the others told of theirs. What is fetched over a store's link is counted in the
 * same way, under the store's address.
 */
export class Backlog {
  /** This entry's tokens by target id. */
  private readonly own = new Map<string, number>();
  private readonly others = new Map<string, Told>();

  constructor(private readonly clock: Clock) {}

  /** A prompt with `tokens` to be read goes to a target; `onRead` hears of the first event, while the prompt waits. */
  began(id: string, tokens: number, onRead?: () => void): WaitingPrompt {
    this.add(id, tokens);
    let left = tokens;
    const forget = (): void => {
      this.add(id, -left);
      left = 0;
    };
    const read = (): void => {
      if (left > 0) onRead?.();
      forget();
    };
    return { read, forget };
  }

  /** Tokens that a target has to read yet, from this entry and others. */
  tokensAt(id: string): number {
    const now = this.clock.monotonic();
    let tokens = this.own.get(id) ?? 0;
    for (const { at, byTarget } of this.others.values()) {
      if (now - at < TOLD_LASTS_MS) tokens += byTarget.get(id) ?? 0;
    }
    return tokens;
  }

  /** This entry's tokens at each target that has some. */
  ownWork(): PromptWork[] {
    return [...this.own].map(([targetId, tokens]) => ({ targetId, tokens }));
  }

  /** Another entry told all of its tokens. */
  told(entry: string, work: readonly PromptWork[]): void {
    const byTarget = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.others.set(entry, { at: this.clock.monotonic(), byTarget });
  }

  /** Forgets entries that tell nothing any more. */
  keep(): void {
    const now = this.clock.monotonic();
    for (const [entry, { at }] of this.others) if (now - at >= TOLD_LASTS_MS) this.others.delete(entry);
  }

  private add(id: string, tokens: number): void {
    const sum = (this.own.get(id) ?? 0) + tokens;
    if (sum > 0) this.own.set(id, sum);
    else this.own.delete(id);
  }
}
