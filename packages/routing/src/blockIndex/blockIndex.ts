/**
 * Exact index of the blocks in one engine's prefix cache, kept beside the engine from its cache events.
 *
 * What goes wrong: events come late, some never, and some from an engine process that has ended. A lost
 * "removed" would leave a block in the index that the engine no longer has, and estimates would promise cached
 * work that has to be computed. Sequence numbers show the loss; from then on only blocks that later events or
 * answers confirm are vouched for, until a snapshot replaces the whole.
 */
import { BLOCK_BYTES, BLOCK_TOKENS, hashOf, namespaceSeed, nextHash } from '../prefix/index.js';
import type { Chain, Namespace } from '../prefix/index.js';
import { BlockTable } from './blockTable.js';
import type { Halves } from './blockTable.js';
import type { Applied, CacheChange, CacheSnapshot, RemovedBlocks, StoredBlocks } from './change.js';

/** What an index is made with. */
export interface BlockIndexOptions {
  /** Most blocks that are held. */
  readonly capacity: number;
  /** Namespace of stored blocks; customer, model, adapter and version of the event unless given. */
  readonly namespaceOf?: (stored: StoredBlocks) => Namespace;
}

/** Counters of an index. */
export interface BlockIndexCounts {
  readonly blocks: number;
  /** Bytes of the arrays. */
  readonly bytes: number;
  readonly gaps: number;
  /** Blocks that could not be placed, for their parent is not known. */
  readonly orphans: number;
  /** Blocks that made room for others at the bound. */
  readonly evicted: number;
}

/** Ended incarnations whose late events are told from those of a new one. */
const MAX_ENDED = 32;

const MAX_GENERATION = 254;

/** Generation of blocks that no event has told of. */
const ASSUMED = 255;

/** Blocks of one engine. */
export class BlockIndex {
  private readonly table: BlockTable;
  private readonly namespaceOf: (stored: StoredBlocks) => Namespace;
  private readonly ended = new Set<string>();
  private current: string | undefined;
  /** Incarnation of an event that nobody has named. */
  private foreign: string | undefined;
  private lastSequence: number | undefined;
  private whole = false;
  private generation = 1;
  private gaps = 0;
  private orphans = 0;
  private readonly scratch = new BigUint64Array(1);
  private readonly scratchHalves = new Uint32Array(this.scratch.buffer);

  constructor(options: BlockIndexOptions) {
    this.table = new BlockTable(options.capacity);
    this.namespaceOf = options.namespaceOf ?? defaultNamespace;
  }

  /** Incarnation that the blocks belong to. */
  get incarnation(): string | undefined {
    return this.current;
  }

  /** Number of the newest change, to follow events from. */
  get sequence(): number {
    return this.lastSequence ?? 0;
  }

  /** Whether the index is known to be whole; when not, a snapshot is wanted. */
  get synchronised(): boolean {
    return this.whole;
  }

  counts(): BlockIndexCounts {
    const { size: blocks, bytes, evicted } = this.table;
    return { blocks, bytes, evicted, gaps: this.gaps, orphans: this.orphans };
  }

  /**
   * Names the engine's process. Call it before the first request to a new one: whatever was cached before is
   * dropped. Naming the same one again changes nothing.
   */
  begin(incarnation: string): void {
    if (incarnation === this.current) return;
    this.end(this.current);
    this.end(this.foreign);
    this.foreign = undefined;
    this.ended.delete(incarnation);
    this.current = incarnation;
    this.lastSequence = undefined;
    this.dropAll();
  }

  /** Takes up one change. */
  apply(change: CacheChange): Applied {
    if (change.incarnation !== this.current) return this.applyForeign(change);
    const expected = (this.lastSequence ?? change.sequence - 1) + 1;
    if (change.sequence < expected) return this.applyLate(change);
    this.lastSequence = change.sequence;
    if (change.sequence > expected) this.openGap();
    this.applyInOrder(change);
    if (change.type === 'cleared') this.whole = true;
    return change.sequence > expected ? 'gap' : 'applied';
  }

  /**
   * Replaces everything by a snapshot.
   * @returns false when it is of another incarnation or older than what is held; then nothing changed.
   */
  restore(snapshot: CacheSnapshot): boolean {
    if (snapshot.incarnation !== this.current || snapshot.sequence < this.sequence) return false;
    this.dropAll();
    for (const change of snapshot.events) this.applyInOrder(change);
    this.lastSequence = snapshot.sequence;
    this.whole = true;
    return true;
  }

  /** Blocks of a chain, from its start on, that are vouched for. */
  longestPrefix(chain: Chain): number {
    return this.walk(chain, (generation) => generation === this.generation);
  }

  /** Like `longestPrefix`, with blocks that a lost event may have removed. Fit to rank, not to promise. */
  likelyPrefix(chain: Chain): number {
    return this.walk(chain, () => true);
  }

  /**
   * The engine has answered a prompt, and found its first `blocks` blocks in its cache. Those are vouched for.
   * It has computed the others: while events are missing, they may be among the lost ones, and are taken to be
   * likely until the next snapshot.
   */
  confirm(chain: Chain, blocks: number): void {
    const halves = halvesOf(chain);
    for (let block = 0; block < chain.length; block += 1) {
      const hash = { low: halves[2 * block] ?? 0, high: halves[2 * block + 1] ?? 0 };
      const entry = this.table.findChain(hash.low, hash.high);
      if (entry < 0 && !this.whole) this.table.add(hash, hash, ASSUMED);
      if (entry >= 0 && block < blocks && this.table.generation(entry) !== ASSUMED) {
        this.table.vouch(entry, this.generation);
      }
    }
  }

  private walk(chain: Chain, counts: (generation: number) => boolean): number {
    const halves = halvesOf(chain);
    for (let block = 0; block < chain.length; block += 1) {
      const entry = this.table.findChain(halves[2 * block] ?? 0, halves[2 * block + 1] ?? 0);
      if (entry < 0 || !counts(this.table.generation(entry))) return block;
      this.table.touch(entry);
    }
    return chain.length;
  }

  /**
   * A late event of an ended process must not change what is known of its successor. One of a process that
   * nobody has named means that the engine may have restarted unseen: nothing held is relied on until `begin`
   * says which process runs.
   */
  private applyForeign(change: CacheChange): Applied {
    if (this.ended.has(change.incarnation)) return 'old-incarnation';
    this.end(this.current);
    this.current = undefined;
    this.foreign = change.incarnation;
    this.lastSequence = undefined;
    this.dropAll();
    return 'unknown-incarnation';
  }

  private end(incarnation: string | undefined): void {
    if (incarnation === undefined) return;
    this.ended.add(incarnation);
    if (this.ended.size <= MAX_ENDED) return;
    const [oldest] = this.ended;
    if (oldest !== undefined) this.ended.delete(oldest);
  }

  /** A block that left is left out in any order; one that came may have left again since. */
  private applyLate(change: CacheChange): Applied {
    if (change.type !== 'stored') this.applyInOrder(change);
    return 'late';
  }

  private applyInOrder(change: CacheChange): void {
    if (change.type === 'stored') this.store(change);
    if (change.type === 'removed') this.remove(change);
    if (change.type === 'cleared') this.table.clear();
  }

  private store(stored: StoredBlocks): void {
    const parent = this.parentHash(stored);
    const fits =
      stored.blockTokens === BLOCK_TOKENS && stored.tokens.length >= stored.hashes.length * BLOCK_TOKENS;
    if (parent === undefined || !fits) {
      this.orphans += stored.hashes.length;
      return;
    }
    const bytes = new Uint8Array(Uint32Array.from(stored.tokens).buffer);
    let hash = parent;
    stored.hashes.forEach((name, block) => {
      hash = nextHash(hash, bytes.subarray(block * BLOCK_BYTES, (block + 1) * BLOCK_BYTES));
      this.table.add(this.split(hashOf(name)), this.split(hash), this.generation);
    });
  }

  /** Chain hash before the first stored block; undefined when the parent is not in the index. */
  private parentHash(stored: StoredBlocks): bigint | undefined {
    if (stored.parent === null) return namespaceSeed(this.namespaceOf(stored));
    const entry = this.table.findEngine(this.split(hashOf(stored.parent)));
    if (entry < 0) return undefined;
    this.table.vouch(entry, this.generation);
    this.scratchHalves[0] = this.table.chainLow(entry);
    this.scratchHalves[1] = this.table.chainHigh(entry);
    return this.scratch[0];
  }

  private remove(removed: RemovedBlocks): void {
    for (const name of removed.hashes) {
      const entry = this.table.findEngine(this.split(hashOf(name)));
      if (entry >= 0) this.table.remove(entry);
    }
  }

  /** From here on, what is held is not vouched for. It stays, to place the children of its blocks. */
  private openGap(): void {
    this.gaps += 1;
    this.whole = false;
    this.generation += 1;
    if (this.generation <= MAX_GENERATION) return;
    this.dropAll();
  }

  private dropAll(): void {
    this.table.clear();
    this.generation = 1;
    this.whole = false;
  }

  private split(value: bigint): Halves {
    this.scratch[0] = value;
    return { low: this.scratchHalves[0] ?? 0, high: this.scratchHalves[1] ?? 0 };
  }
}

function halvesOf(chain: Chain): Uint32Array {
  return new Uint32Array(chain.buffer, chain.byteOffset, 2 * chain.length);
}

function defaultNamespace(stored: StoredBlocks): Namespace {
  const { salt, model, adapter, version } = stored;
  return { customer: salt, model, adapter, weightsVersion: version };
}
