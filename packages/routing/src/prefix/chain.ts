/** Identity of prompt prefixes: a chain of block hashes under a namespace. */

/** Bytes of prompt text that count as one token where no tokenizer is at hand. */
export const BYTES_PER_TOKEN = 4;

/** Tokens of one block. */
export const BLOCK_TOKENS = 16;

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
