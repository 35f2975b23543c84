/** Fingerprints of requests and prompt parts, by which all processes recognise those that come again. */
import { createHash } from 'node:crypto';

/** Bytes of a fingerprint: 128 bits, so that no caller can find a request that collides with another one's. */
const FINGERPRINT_BYTES = 16;

/**
 * Fingerprint of a request: of its caller, path and body. Fields that differ between two attempts of the same request, such as
 * its id or its deadline, are left out. The JSON encoding keeps caller, path and body apart.
 */
export function requestFingerprint(caller: string, path: string, body: Uint8Array): Uint8Array {
  const hash = createHash('sha256')
    .update(JSON.stringify([caller, path]))
    .update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES);
}

/** Fingerprint of a prompt part, whoever sends it. It equals that of no request, as the encodings differ. */
export function partFingerprint(id: string): Uint8Array {
  const hash = createHash('sha256').update(JSON.stringify({ part: id }));
  return hash.digest().subarray(0, FINGERPRINT_BYTES);
}

/** A fingerprint as text, for logs and as a key. */
export const fingerprintText = (fingerprint: Uint8Array): string => Buffer.from(fingerprint).toString('hex');
