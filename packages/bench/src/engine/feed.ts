/** Cache events as engines publish them: numbered, late, and with gaps. */
import type { Clock } from '@jasmineroute/core';
import type { Random } from '../random/index.js';
import type { Block, CacheListener } from './cache.js';
import type { Tuning } from './settings.js';

/** One event, ready to be sent. */
export interface FeedEvent {
  readonly sequence: number;
  readonly text: string;
}

const KEPT_EVENTS = 20_000;

/** The event of a run of blocks in one namespace, each the parent of the next. */
export function storedEvent(incarnation: string, sequence: number, blocks: readonly Block[]): object {
  const first = blocks[0];
  return {
    type: 'stored',
    incarnation,
    sequence,
    parent: first?.parent ?? null,
    hashes: blocks.map((block) => block.hash),
    tokens: blocks.flatMap((block) => block.tokens),
    block_tokens: first?.tokens.length ?? 0,
    ...first?.namespace,
  };
}

/** Splits blocks, parents first, into runs in which each is the parent of the next. */
export function runsOf(blocks: readonly Block[]): Block[][] {
  const runs: Block[][] = [];
  for (const block of blocks) {
    const last = runs.at(-1);
    const previous = last?.at(-1);
    if (block.parent === previous?.hash) last?.push(block);
    else runs.push([block]);
  }
  return runs;
}

/** Collects changes, joins them into events, and gives them out late; some never. */
export class CacheFeed implements CacheListener {
  private sequence = 0;
  private pendingStored: Block[] = [];
  private pendingRemoved: string[] = [];
  private readonly kept: FeedEvent[] = [];
  private readonly readers = new Set<(event: FeedEvent) => void>();

  constructor(
    private readonly incarnation: string,
    private readonly tuning: Tuning,
    private readonly random: Random,
    private readonly clock: Clock,
  ) {}

  /** Sequence number of the newest event, sent or not. */
  get newest(): number {
    this.flush();
    return this.sequence;
  }

  stored(block: Block): void {
    this.flushRemoved();
    this.pendingStored.push(block);
  }

  removed(hashes: readonly string[]): void {
    this.flushStored();
    this.pendingRemoved.push(...hashes);
  }

  /** Gives events from this sequence number on, then all to come. Returns the way to stop. */
  read(from: number, reader: (event: FeedEvent) => void): () => void {
    for (const event of this.kept) if (event.sequence >= from) reader(event);
    this.readers.add(reader);
    return () => {
      this.readers.delete(reader);
    };
  }

  /** Turns what has changed since into events; the engine calls it at the end of each step. */
  flush(): void {
    this.flushStored();
    this.flushRemoved();
  }

  private flushStored(): void {
    for (const run of runsOf(this.pendingStored)) {
      this.publish((sequence) => storedEvent(this.incarnation, sequence, run));
    }
    this.pendingStored = [];
  }

  private flushRemoved(): void {
    const hashes = this.pendingRemoved;
    if (hashes.length === 0) return;
    this.pendingRemoved = [];
    this.publish((sequence) => ({ type: 'removed', incarnation: this.incarnation, sequence, hashes }));
  }

  private publish(make: (sequence: number) => object): void {
    this.sequence += 1;
    if (this.random.chance(this.tuning.eventLoss)) return;
    const event = { sequence: this.sequence, text: JSON.stringify(make(this.sequence)) };
    this.clock.after(this.tuning.eventDelayMs, () => {
      this.kept.push(event);
      if (this.kept.length > KEPT_EVENTS) this.kept.shift();
      for (const reader of this.readers) reader(event);
    });
  }
}
