/** Tokens of prompts that wait at targets to be read, and how long one takes. */
import type { Clock } from '@jasmineroute/core';

/** Work told by another entry is believed for so long, milliseconds: it is told again twice as often. */
const TOLD_LASTS_MS = 1_000;

/**
 * Time for one token that waits to be read, milliseconds, until some were measured, and the weight of a new measurement:
 * 110 tokens a ms, with the steps of running requests between and one prompt's pieces after another's.
 */
const FIRST_TOKEN_MS = 0.0125;
const TOKEN_WEIGHT = 0.1;

/** Fewer tokens that waited say nothing of the time for one. */
const MEASURED_TOKENS = 3_000;

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
  /** Time for one token by target id, milliseconds. */
  private readonly measured = new Map<string, number>();
  private readonly others = new Map<string, Told>();

  constructor(private readonly clock: Clock) {}

  /** A prompt with `tokens` to be read goes to a target. */
  began(id: string, tokens: number): WaitingPrompt {
    const ahead = this.tokensAt(id) + tokens;
    const begunAt = this.clock.monotonic();
    this.add(id, tokens);
    let left = tokens;
    const forget = (): void => {
      this.add(id, -left);
      left = 0;
    };
    const read = (): void => {
      if (left > 0 && ahead >= MEASURED_TOKENS) this.measure(id, (this.clock.monotonic() - begunAt) / ahead);
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

  /** Time for one token that waits at a target, milliseconds. */
  tokenMs(id: string): number {
    return this.measured.get(id) ?? FIRST_TOKEN_MS;
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

  /** Forgets targets that are gone, and entries that tell nothing any more. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of this.measured.keys()) if (!ids.has(id)) this.measured.delete(id);
    const now = this.clock.monotonic();
    for (const [entry, { at }] of this.others) if (now - at >= TOLD_LASTS_MS) this.others.delete(entry);
  }

  private add(id: string, tokens: number): void {
    const sum = (this.own.get(id) ?? 0) + tokens;
    if (sum > 0) this.own.set(id, sum);
    else this.own.delete(id);
  }

  private measure(id: string, tokenMs: number): void {
    const before = this.tokenMs(id);
    this.measured.set(id, before + (tokenMs - before) * TOKEN_WEIGHT);
  }
}
