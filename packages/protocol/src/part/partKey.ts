/** Keys of prompt parts in messages. */
import { crc32 } from 'node:zlib';

/** A part of a prompt in the cache of a store or a target. */
export interface StoredPart {
  /** Cached blocks are reused only under the same salt. */
  readonly salt: string;
  readonly model: string;
  readonly part: string;
}

/**
 * 32-bit key of a part in the cache at an address, host:port. It takes four bytes in messages, instead of about fifty for the
 * part's own fields. The only effect of a collision is that one part is not copied.
 */
export function partKey(address: string, { salt, model, part }: StoredPart): number {
  return crc32(`${address} ${model} ${part} ${salt}`);
}
