/** Identification of prompt prefixes by chains of block hashes in a namespace. */
import createHasher from 'xxhash-wasm';
import type { XXHashAPI } from 'xxhash-wasm';

/** Bytes of prompt text that count as one token when no tokenizer is available. */
export const BYTES_PER_TOKEN = 4;

/** Tokens of one block. */
export const BLOCK_TOKENS = 16;

/** Bytes of one block. */
export const BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS;

/** Size of a hash in messages, bytes. */
export const HASH_BYTES = 8;

/** Scope of cached blocks: requests share blocks only if all fields are equal. */
export interface Namespace {
  readonly customer: string;
  readonly model: string;
  readonly adapter: string;
  readonly weightsVersion: string;
}

/**
 * Hashes of the prompt's full blocks. Each covers its block and the previous hash, so that equal hashes mean equal
 * prefixes up to that block. The length is the number of full blocks.
 */
export type Chain = BigUint64Array;

let loadedHasher: XXHashAPI | undefined;

/** Loads the hash function. Must be awaited before any hashing; not needed in a process that does not hash. */
export async function loadHasher(): Promise<void> {
  loadedHasher ??= await createHasher();
}

function hasher(): XXHashAPI {
  if (loadedHasher === undefined) throw new Error('loadHasher() must be awaited before hashing');
  return loadedHasher;
}

/** Parent hash of the first block in a namespace, so that prompts of two namespaces share no block hash. */
export function namespaceSeed(namespace: Namespace): bigint {
  const parts = [namespace.customer, namespace.model, namespace.adapter, namespace.weightsVersion];
  return hasher().h64(JSON.stringify(parts));
}

/** 64-bit hash of a text, such as an engine's identifier of a block. */
export function hashOf(text: string): bigint {
  return hasher().h64(text);
}

/** Chain hash of a block that follows `parent`. @param bytes exactly BLOCK_BYTES long. */
export function nextHash(parent: bigint, bytes: Uint8Array): bigint {
  return hasher().h64Raw(bytes, parent);
}

/** Number of tokens of a prompt of `bytes` bytes. The last token may be padded. */
export function tokensOf(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}

/**
 * Computes the chain of a prompt in one pass. A block that is completed by padding the last token counts as full, as
 * in the engine.
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

/** Encodes a chain for messages: 8 bytes per hash, little endian. */
export function encodeChain(chain: Chain): Uint8Array {
  const bytes = new Uint8Array(chain.length * HASH_BYTES);
  const view = new DataView(bytes.buffer);
  chain.forEach((hash, block) => {
    view.setBigUint64(block * HASH_BYTES, hash, true);
  });
  return bytes;
}

/** Decodes the output of `encodeChain`. Bytes after the last complete hash are ignored. */
export function decodeChain(bytes: Uint8Array): Chain {
  const chain = new BigUint64Array(Math.floor(bytes.length / HASH_BYTES));
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  for (let block = 0; block < chain.length; block += 1) {
    chain[block] = view.getBigUint64(block * HASH_BYTES, true);
  }
  return chain;
}

/** Number of leading blocks that two chains share. Binary search, as equal hashes mean equal prefixes. */
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
