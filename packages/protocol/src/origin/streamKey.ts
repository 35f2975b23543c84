/** Keys of streams that can be resumed. */
import { createHash } from 'node:crypto';

/** Bytes of a key: 96 bits, so that accidental collisions are practically impossible. */
const KEY_BYTES = 12;

/**
 * Key of the stream whose first event was the answer to a request. It depends on the customer, as the ids of requests are
 * chosen by callers. The JSON encoding keeps the two apart.
 */
export function streamKey(customer: string, requestId: string): Uint8Array {
  const text = JSON.stringify([customer, requestId]);
  return createHash('sha256').update(text).digest().subarray(0, KEY_BYTES);
}
