/** Blocks in typed arrays: engine's hash and chain hash of each, found by either. */
import { KeyIndex } from './keyIndex.js';
import type { Keys } from './keyIndex.js';

/** Entries of a new table, and how much it grows by. */
const FIRST_ENTRIES = 1_024;
const GROWTH = 1.5;

/** A 64-bit number as two halves. */
export interface Halves {
  readonly low: number;
  readonly high: number;
}

/** State of an entry: free, or the generation that vouches for it (1 to 255). */
const FREE = 0;

/** A bounded table. When it is full, the block least lately looked at makes room. */
export class BlockTable {
  private readonly chain: Keys = { low: new Uint32Array(0), high: new Uint32Array(0) };
  private readonly engine: Keys = { low: new Uint32Array(0), high: new Uint32Array(0) };
  private generations = new Uint8Array(0);
  private touched = new Uint8Array(0);
  private readonly byChain = new KeyIndex(this.chain);
  private readonly byEngine = new KeyIndex(this.engine);
  private free: number[] = [];
  private used = 0;
  private hand = 0;
  /** Blocks that made room for others. */
  evicted = 0;

  /** @param capacity most blocks that are held. */
  constructor(private readonly capacity: number) {
    this.grow(Math.min(FIRST_ENTRIES, capacity));
  }

  get size(): number {
    return this.used;
  }

  /** Bytes of all arrays. */
  get bytes(): number {
    const entries = this.generations.length;
    const perEntry = 4 * Uint32Array.BYTES_PER_ELEMENT + 2;
    return entries * perEntry + this.byChain.bytes + this.byEngine.bytes;
  }

  /** Entry of a chain hash, or -1. */
  findChain(low: number, high: number): number {
    return this.byChain.find(low, high);
  }

  /** Entry of an engine's hash, or -1. */
  findEngine(key: Halves): number {
    return this.byEngine.find(key.low, key.high);
  }

  chainLow(entry: number): number {
    return this.chain.low[entry] ?? 0;
  }

  chainHigh(entry: number): number {
    return this.chain.high[entry] ?? 0;
  }

  generation(entry: number): number {
    return this.generations[entry] ?? FREE;
  }

  /** Notes that an entry was of use and is vouched for by `generation`. */
  vouch(entry: number, generation: number): void {
    this.generations[entry] = generation;
    this.touched[entry] = 1;
  }

  /** Notes that an entry was of use. */
  touch(entry: number): void {
    this.touched[entry] = 1;
  }

  /**
   * Adds a block. A block that is there under the same chain hash is replaced: the engine's newest name for
   * it is the one that its removal will use.
   */
  add(engine: Halves, chain: Halves, generation: number): void {
    const named = this.byEngine.find(engine.low, engine.high);
    if (named >= 0) this.remove(named);
    const known = this.byChain.find(chain.low, chain.high);
    if (known >= 0) this.remove(known);
    const entry = this.take();
    this.engine.low[entry] = engine.low;
    this.engine.high[entry] = engine.high;
    this.chain.low[entry] = chain.low;
    this.chain.high[entry] = chain.high;
    this.generations[entry] = generation;
    this.touched[entry] = 0;
    this.byEngine.add(entry);
    this.byChain.add(entry);
    this.used += 1;
  }

  remove(entry: number): void {
    this.byEngine.remove(entry);
    this.byChain.remove(entry);
    this.generations[entry] = FREE;
    this.free.push(entry);
    this.used -= 1;
  }

  clear(): void {
    this.byEngine.clear();
    this.byChain.clear();
    this.generations.fill(FREE);
    this.free = [];
    for (let entry = this.generations.length - 1; entry >= 0; entry -= 1) this.free.push(entry);
    this.used = 0;
  }

  private take(): number {
    const entry = this.free.pop();
    if (entry !== undefined) return entry;
    if (this.generations.length < this.capacity) {
      this.grow(Math.min(this.capacity, Math.ceil(this.generations.length * GROWTH)));
    } else {
      this.evict();
    }
    return this.free.pop() ?? 0;
  }

  /** Second chance: passes over blocks that were of use since the hand last came by. */
  private evict(): void {
    while (this.touched[this.hand] === 1) {
      this.touched[this.hand] = 0;
      this.hand = (this.hand + 1) % this.capacity;
    }
    this.remove(this.hand);
    this.hand = (this.hand + 1) % this.capacity;
    this.evicted += 1;
  }

  private grow(entries: number): void {
    const before = this.generations.length;
    this.chain.low = enlarge(this.chain.low, entries);
    this.chain.high = enlarge(this.chain.high, entries);
    this.engine.low = enlarge(this.engine.low, entries);
    this.engine.high = enlarge(this.engine.high, entries);
    const generations = new Uint8Array(entries);
    generations.set(this.generations);
    this.generations = generations;
    const touched = new Uint8Array(entries);
    touched.set(this.touched);
    this.touched = touched;
    for (let entry = entries - 1; entry >= before; entry -= 1) this.free.push(entry);
    this.byChain.rebuild(entries, this.entries(before));
    this.byEngine.rebuild(entries, this.entries(before));
  }

  private *entries(end: number): Iterable<number> {
    for (let entry = 0; entry < end; entry += 1) {
      if (this.generations[entry] !== FREE) yield entry;
    }
  }
}

function enlarge(array: Uint32Array, length: number): Uint32Array<ArrayBuffer> {
  const larger = new Uint32Array(length);
  larger.set(array);
  return larger;
}
