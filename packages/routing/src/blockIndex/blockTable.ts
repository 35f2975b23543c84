/** Table of blocks in typed arrays, with lookup by the engine's hash and by chain hash. */
import { KeyIndex } from './keyIndex.js';
import type { Keys } from './keyIndex.js';

/** Entries of a new table, and its growth factor. */
const INITIAL_ENTRIES = 1_024;
const GROWTH_FACTOR = 1.5;

/** A 64-bit hash as two halves. */
export interface HashHalves {
  readonly low: number;
  readonly high: number;
}

/** Generation value of a free entry. Entries in use have a generation from 1 to 255. */
const FREE = 0;

/** A bounded table. When it is full, blocks are evicted by the clock algorithm. */
export class BlockTable {
  private readonly chain: Keys = { low: new Uint32Array(0), high: new Uint32Array(0) };
  private readonly engine: Keys = { low: new Uint32Array(0), high: new Uint32Array(0) };
  private generations = new Uint8Array(0);
  private recentlyUsed = new Uint8Array(0);
  private readonly byChain = new KeyIndex(this.chain);
  private readonly byEngine = new KeyIndex(this.engine);
  private freeEntries: number[] = [];
  private usedCount = 0;
  private clockHand = 0;
  /** Number of evicted blocks. */
  evicted = 0;

  /** @param capacity maximum number of blocks. */
  constructor(private readonly capacity: number) {
    this.grow(Math.min(INITIAL_ENTRIES, capacity));
  }

  get size(): number {
    return this.usedCount;
  }

  /** Size of all arrays in bytes. */
  get bytes(): number {
    const entries = this.generations.length;
    const perEntry = 4 * Uint32Array.BYTES_PER_ELEMENT + 2;
    return entries * perEntry + this.byChain.bytes + this.byEngine.bytes;
  }

  /** Entry of a block by its chain hash, or -1. */
  findChain(low: number, high: number): number {
    return this.byChain.find(low, high);
  }

  /** Entry of a block by the engine's hash, or -1. */
  findEngine(key: HashHalves): number {
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

  /** Marks an entry as recently used and confirmed in `generation`. */
  confirm(entry: number, generation: number): void {
    this.generations[entry] = generation;
    this.recentlyUsed[entry] = 1;
  }

  /** Marks an entry as recently used. */
  markUsed(entry: number): void {
    this.recentlyUsed[entry] = 1;
  }

  /**
   * Adds a block. An entry with the same chain hash is replaced, because the engine will use its newest hash of the
   * block when it removes it.
   */
  add(engine: HashHalves, chain: HashHalves, generation: number): void {
    const named = this.byEngine.find(engine.low, engine.high);
    if (named >= 0) this.remove(named);
    const known = this.byChain.find(chain.low, chain.high);
    if (known >= 0) this.remove(known);
    const entry = this.allocate();
    this.engine.low[entry] = engine.low;
    this.engine.high[entry] = engine.high;
    this.chain.low[entry] = chain.low;
    this.chain.high[entry] = chain.high;
    this.generations[entry] = generation;
    this.recentlyUsed[entry] = 0;
    this.byEngine.add(entry);
    this.byChain.add(entry);
    this.usedCount += 1;
  }

  remove(entry: number): void {
    this.byEngine.remove(entry);
    this.byChain.remove(entry);
    this.generations[entry] = FREE;
    this.freeEntries.push(entry);
    this.usedCount -= 1;
  }

  clear(): void {
    this.byEngine.clear();
    this.byChain.clear();
    this.generations.fill(FREE);
    this.freeEntries = [];
    for (let entry = this.generations.length - 1; entry >= 0; entry -= 1) this.freeEntries.push(entry);
    this.usedCount = 0;
  }

  private allocate(): number {
    const entry = this.freeEntries.pop();
    if (entry !== undefined) return entry;
    if (this.generations.length < this.capacity) {
      this.grow(Math.min(this.capacity, Math.ceil(this.generations.length * GROWTH_FACTOR)));
    } else {
      this.evict();
    }
    return this.freeEntries.pop() ?? 0;
  }

  /** Clock algorithm: skips entries that were used since the hand last passed them. */
  private evict(): void {
    while (this.recentlyUsed[this.clockHand] === 1) {
      this.recentlyUsed[this.clockHand] = 0;
      this.clockHand = (this.clockHand + 1) % this.capacity;
    }
    this.remove(this.clockHand);
    this.clockHand = (this.clockHand + 1) % this.capacity;
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
    const recentlyUsed = new Uint8Array(entries);
    recentlyUsed.set(this.recentlyUsed);
    this.recentlyUsed = recentlyUsed;
    for (let entry = entries - 1; entry >= before; entry -= 1) this.freeEntries.push(entry);
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
