/** Identity of prompt prefixes: a chain of block hashes under a namespace. */
import createHasher from 'xxhash-wasm';
import type { XXHashAPI } from 'xxhash-wasm';

/** Bytes of prompt text that count as one token where no tokenizer is at hand. */
export const BYTES_PER_TOKEN = 4;

/** Tokens of one block. */
export const BLOCK_TOKENS = 16;

/** Bytes of one block. */
export const BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS;

/** Bytes of one hash in messages. */
export const HASH_BYTES = 8;

/** What two requests must share before any cached block is theirs both. */
export interface Namespace {
  readonly customer: string;
  readonly model: string;
  readonly adapter: string;
  readonly weightsVersion: string;
}

/**
 * Hashes of the prompt's full blocks, each over its block and the hash before it: equal hashes mean equal
 * prefixes up to there. Length is the number of full blocks.
 */
export type Chain = BigUint64Array;

let loaded: XXHashAPI | undefined;

/** Loads the hash function. To be awaited before anything is hashed; a process that hashes nothing need not load it. */
export async function loadHasher(): Promise<void> {
  loaded ??= await createHasher();
}

function hasher(): XXHashAPI {
  if (loaded === undefined) throw new Error('hashes are made before loadHasher was awaited');
  return loaded;
}

/** Hash that stands before a namespace's first block: prompts of two namespaces share no block hash. */
export function namespaceSeed(namespace: Namespace): bigint {
  const parts = [namespace.customer, namespace.model, namespace.adapter, namespace.weightsVersion];
  return hasher().h64(JSON.stringify(parts));
}

/** 64-bit hash of any text, as of an engine's name for a block. */
export function hashOf(text: string): bigint {
  return hasher().h64(text);
}

/** Hash of a block after `parent`. @param bytes exactly BLOCK_BYTES long. */
export function nextHash(parent: bigint, bytes: Uint8Array): bigint {
  return hasher().h64Raw(bytes, parent);
}

/** Tokens of a prompt of `bytes` bytes; the last one may be padded. */
export function tokensOf(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}

/**
 * The chain of a prompt, in one pass. A last token that fills its block by padding counts, as it does in
 * the engine.
 */
export function createChain(namespace: Namespace, prompt: Uint8Array): Chain {
  const blocks = Math.floor(tokensOf(prompt.length) / BLOCK_TOKENS);
  const chain = new BigUint64Array(blocks);
  let parent = namespaceSeed(namespace);
  for (let block = 0; block < blocks; block += 1) {
    parent = nextHash(parent, blockAt(prompt, block));
    chain[block] = parent;
  }
  return chain;
}

function blockAt(prompt: Uint8Array, block: number): Uint8Array {
  const bytes = prompt.subarray(block * BLOCK_BYTES, (block + 1) * BLOCK_BYTES);
  if (bytes.length === BLOCK_BYTES) return bytes;
  const padded = new Uint8Array(BLOCK_BYTES);
  padded.set(bytes);
  return padded;
}

/** A chain as the gate's messages carry it: 8 bytes a hash, little endian. */
export function encodeChain(chain: Chain): Uint8Array {
  const bytes = new Uint8Array(chain.length * HASH_BYTES);
  const view = new DataView(bytes.buffer);
  chain.forEach((hash, block) => {
    view.setBigUint64(block * HASH_BYTES, hash, true);
  });
  return bytes;
}

/** Reads `encodeChain`'s bytes. Bytes after the last whole hash are left out. */
export function decodeChain(bytes: Uint8Array): Chain {
  const chain = new BigUint64Array(Math.floor(bytes.length / HASH_BYTES));
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  for (let block = 0; block < chain.length; block += 1) {
    chain[block] = view.getBigUint64(block * HASH_BYTES, true);
  }
  return chain;
}

/** Number of blocks that two chains share. Looks at O(log n) hashes: equal hashes mean equal prefixes. */
export function sharedBlocks(left: Chain, right: Chain): number {
  let low = 0;
  let high = Math.min(left.length, right.length);
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if (left[middle - 1] === right[middle - 1]) low = middle;
    else high = middle - 1;
  }
  return low;
}
