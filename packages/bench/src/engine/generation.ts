/** One request in the engine, with the output it has so far. Readers come and go; the work outlives them. */
import type { Block } from './cache.js';
import type { Prompt } from './prompt.js';

/** Stage of a request. */
export type Stage = 'waiting' | 'prefill' | 'decode' | 'done' | 'cancelled';

/** One request's work and output. */
export class Generation {
  stage: Stage = 'waiting';
  /** Prompt tokens that are in the cache or computed. */
  readyTokens = 0;
  /** Prompt tokens that came from the cache. */
  cachedTokens = 0;
  /** Blocks pinned so far, from the first on. */
  pinnedBlocks = 0;
  /** When the last reader left, on the monotonic clock; undefined while there is one. */
  unreadSince: number | undefined;
  endedAt: number | undefined;
  private readonly output: string[] = [];
  private readonly readers = new Set<() => void>();

  constructor(
    readonly id: string,
    readonly order: number,
    readonly prompt: Prompt,
    readonly version: string,
    readonly promptTokens: number,
    readonly chain: readonly Block[],
    readonly tag: string,
    readonly firstPosition: number,
  ) {}

  /** Output tokens so far. */
  get tokens(): readonly string[] {
    return this.output;
  }

  get ended(): boolean {
    return this.stage === 'done' || this.stage === 'cancelled';
  }

  /** Adds an output token. */
  append(token: string): void {
    this.output.push(token);
    this.notify();
  }

  /** Ends the work. */
  end(stage: 'done' | 'cancelled', at: number): void {
    this.stage = stage;
    this.endedAt = at;
    this.notify();
  }

  /** Calls back on every change until the returned function is called. */
  attach(reader: () => void): (now: number) => void {
    this.readers.add(reader);
    this.unreadSince = undefined;
    return (now) => {
      this.readers.delete(reader);
      if (this.readers.size === 0) this.unreadSince = now;
    };
  }

  private notify(): void {
    for (const reader of this.readers) reader();
  }
}
