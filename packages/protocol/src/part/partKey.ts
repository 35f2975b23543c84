/** Keys of prompt parts in messages. */
import { crc32 } from 'node:zlib';

/** A part of a prompt as a store of kept KV cache has it. */
export interface StoredPart {
  /** Cached blocks are found under the same salt only. */
  readonly salt: string;
  readonly model: string;
  readonly part: string;
}

/**
 * Number of 32 bits for a part at a store; four bytes instead of about fifty. Two parts with one key cost no more than
 * one part that is not copied.
 */
export function partKey(store: string, { salt, model, part }: StoredPart): number {
  return crc32(`${store} ${model} ${part} ${salt}`);
}
