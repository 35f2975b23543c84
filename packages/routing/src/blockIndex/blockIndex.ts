/**
 * Exact index of the blocks in one engine's prefix cache, maintained from its cache events.
 *
 * Events can be late, lost, or from an engine process that has ended. A lost "removed" event would leave a block in
 * the index that the engine no longer has, and estimates would count it as cached. Sequence numbers reveal lost events.
 * After a gap only blocks that are confirmed by later events or responses count as cached, until a snapshot replaces
 * the index.
 */
import { BLOCK_BYTES, BLOCK_TOKENS, hashOf, namespaceSeed, nextHash } from '../prefix/index.js';
import type { Chain, Namespace } from '../prefix/index.js';
import { BlockTable } from './blockTable.js';
import type { HashHalves } from './blockTable.js';
import type { Applied, CacheChange, CacheSnapshot, RemovedBlocks, StoredBlocks } from './change.js';

/** Options of a block index. */
export interface BlockIndexOptions {
  /** Maximum number of blocks. */
  readonly capacity: number;
  /** Namespace of stored blocks; defaults to the customer, model, adapter and version of the event. */
  readonly namespaceOf?: (stored: StoredBlocks) => Namespace;
}

/** Counters of an index. */
export interface BlockIndexCounts {
  readonly blocks: number;
  /** Size of the arrays in bytes. */
  readonly bytes: number;
  readonly gaps: number;
  /** Stored blocks that were ignored, as their parent is unknown or their shape is invalid. */
  readonly orphans: number;
  /** Blocks evicted because the capacity was reached. */
  readonly evicted: number;
}

/** Ended incarnations that are kept, to ignore their late events. */
const MAX_ENDED_INCARNATIONS = 32;

const MAX_GENERATION = 254;

/** Generation of blocks that no event has reported. */
const UNREPORTED = 255;

/** Index of the cached blocks of one engine. */
export class BlockIndex {
  private readonly table: BlockTable;
  private readonly namespaceOf: (stored: StoredBlocks) => Namespace;
  private readonly endedIncarnations = new Set<string>();
  private currentIncarnation: string | undefined;
  /** Incarnation seen in an event before `begin` announced it. */
  private unknownIncarnation: string | undefined;
  private lastSequence: number | undefined;
  private complete = false;
  private generation = 1;
  private gaps = 0;
  private orphans = 0;
  private readonly scratch = new BigUint64Array(1);
  private readonly scratchHalves = new Uint32Array(this.scratch.buffer);

  constructor(options: BlockIndexOptions) {
    this.table = new BlockTable(options.capacity);
    this.namespaceOf = options.namespaceOf ?? defaultNamespace;
  }

  /** Incarnation of the engine whose blocks are in the index. */
  get incarnation(): string | undefined {
    return this.currentIncarnation;
  }

  /** Sequence number of the newest change. */
  get sequence(): number {
    return this.lastSequence ?? 0;
  }

  /** Whether the index is complete; otherwise it needs a snapshot. */
  get synchronised(): boolean {
    return this.complete;
  }

  counts(): BlockIndexCounts {
    const { size: blocks, bytes, evicted } = this.table;
    return { blocks, bytes, evicted, gaps: this.gaps, orphans: this.orphans };
  }

  /**
   * Announces the incarnation of the engine process and clears the index. To be called before the first request to a
   * new process. Has no effect when the incarnation is unchanged.
   */
  begin(incarnation: string): void {
    if (incarnation === this.currentIncarnation) return;
    this.markEnded(this.currentIncarnation);
    this.markEnded(this.unknownIncarnation);
    this.unknownIncarnation = undefined;
    this.endedIncarnations.delete(incarnation);
    this.currentIncarnation = incarnation;
    this.lastSequence = undefined;
    this.reset();
  }

  /** Applies a change. */
  apply(change: CacheChange): Applied {
    if (change.incarnation !== this.currentIncarnation) return this.applyOtherIncarnation(change);
    const expected = (this.lastSequence ?? change.sequence - 1) + 1;
    if (change.sequence < expected) return this.applyLate(change);
    this.lastSequence = change.sequence;
    if (change.sequence > expected) this.recordGap();
    this.applyInOrder(change);
    if (change.type === 'cleared') this.complete = true;
    return change.sequence > expected ? 'gap' : 'applied';
  }

  /**
   * Replaces the index by a snapshot.
   * @returns false when the snapshot is of another incarnation or older than the index; then nothing is changed.
   */
  restore(snapshot: CacheSnapshot): boolean {
    if (snapshot.incarnation !== this.currentIncarnation || snapshot.sequence < this.sequence) return false;
    this.reset();
    for (const change of snapshot.events) this.applyInOrder(change);
    this.lastSequence = snapshot.sequence;
    this.complete = true;
    return true;
  }

  /** Number of leading blocks of a chain that are confirmed to be cached. */
  longestPrefix(chain: Chain): number {
    return this.matchPrefix(chain, (generation) => generation === this.generation);
  }

  /** Like `longestPrefix`, but includes blocks that a lost event may have removed. For ranking, not for estimates. */
  likelyPrefix(chain: Chain): number {
    return this.matchPrefix(chain, () => true);
  }

  /**
   * Records that the engine answered a prompt and found its first `blocks` blocks in its cache. These blocks are
   * confirmed. The engine has computed the others, but their events may have been lost: while the index is incomplete,
   * they count as likely until the next snapshot.
   */
  confirm(chain: Chain, blocks: number): void {
    const halves = halvesOf(chain);
    for (let block = 0; block < chain.length; block += 1) {
      const hash = { low: halves[2 * block] ?? 0, high: halves[2 * block + 1] ?? 0 };
      const entry = this.table.findChain(hash.low, hash.high);
      if (entry < 0 && !this.complete) this.table.add(hash, hash, UNREPORTED);
      if (entry >= 0 && block < blocks && this.table.generation(entry) !== UNREPORTED) {
        this.table.confirm(entry, this.generation);
      }
    }
  }

  private matchPrefix(chain: Chain, accepts: (generation: number) => boolean): number {
    const halves = halvesOf(chain);
    for (let block = 0; block < chain.length; block += 1) {
      const entry = this.table.findChain(halves[2 * block] ?? 0, halves[2 * block + 1] ?? 0);
      if (entry < 0 || !accepts(this.table.generation(entry))) return block;
      this.table.markUsed(entry);
    }
    return chain.length;
  }

  /**
   * Late events of an ended process must not change the index of its successor. An event of an unknown process means
   * that the engine may have restarted unnoticed: the index is cleared and stays empty until `begin` announces the
   * running process.
   */
  private applyOtherIncarnation(change: CacheChange): Applied {
    if (this.endedIncarnations.has(change.incarnation)) return 'old-incarnation';
    this.markEnded(this.currentIncarnation);
    this.currentIncarnation = undefined;
    this.unknownIncarnation = change.incarnation;
    this.lastSequence = undefined;
    this.reset();
    return 'unknown-incarnation';
  }

  private markEnded(incarnation: string | undefined): void {
    if (incarnation === undefined) return;
    this.endedIncarnations.add(incarnation);
    if (this.endedIncarnations.size <= MAX_ENDED_INCARNATIONS) return;
    const [oldest] = this.endedIncarnations;
    if (oldest !== undefined) this.endedIncarnations.delete(oldest);
  }

  /** Late removals are applied. Late stored blocks are ignored, as they may have been removed since. */
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

  /** Chain hash of the block before the first stored one; undefined when the parent is not in the index. */
  private parentHash(stored: StoredBlocks): bigint | undefined {
    if (stored.parent === null) return namespaceSeed(this.namespaceOf(stored));
    const entry = this.table.findEngine(this.split(hashOf(stored.parent)));
    if (entry < 0) return undefined;
    this.table.confirm(entry, this.generation);
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

  /** Starts a new generation, so that existing blocks are not confirmed. They stay as parents of later blocks. */
  private recordGap(): void {
    this.gaps += 1;
    this.complete = false;
    this.generation += 1;
    if (this.generation <= MAX_GENERATION) return;
    this.reset();
  }

  private reset(): void {
    this.table.clear();
    this.generation = 1;
    this.complete = false;
  }

  private split(value: bigint): HashHalves {
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
