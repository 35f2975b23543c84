/** Keys of prompt parts in messages. */
import { crc32 } from 'node:zlib';

/** A part of a prompt as a store or a target has it. */
export interface StoredPart {
  /** Cached blocks are found under the same salt only. */
  readonly salt: string;
  readonly model: string;
  readonly part: string;
}

/**
 * Number of 32 bits for a part in the cache at an address, host:port; four bytes instead of about fifty. Two parts with one key cost no more than
 * one part that is not copied.
 */
export function partKey(address: string, { salt, model, part }: StoredPart): number {
  return crc32(`${address} ${model} ${part} ${salt}`);
}
