/** Hashes of keys, attempts and fingerprints: the claim tables hold no texts. */
import { createHash } from 'node:crypto';

/** Bytes of a key's hash: 128 bits, so that accidental collisions are practically impossible. */
export const KEY_HASH_BYTES = 16;

/**
 * Hash of a customer's key at a service. The JSON encoding keeps the three apart, so that no two triples give the same
 * input.
 */
export function hashClaimKey(service: string, customer: string, key: string): Buffer {
  const text = JSON.stringify([service, customer, key]);
  return createHash('sha256').update(text).digest().subarray(0, KEY_HASH_BYTES);
}

/** Hash of an attempt's id, 32 bits: it only has to distinguish attempts at the same key. */
export function hashAttempt(attemptId: string): number {
  return createHash('sha256').update(attemptId).digest().readUInt32LE(0);
}

/** Bytes of a fingerprint's hash. */
const FINGERPRINT_BYTES = 8;

/** Hash of a request's fingerprint, 64 bits as hexadecimal digits. */
export function hashFingerprint(fingerprint: Uint8Array): string {
  const digest = createHash('sha256').update(fingerprint).digest();
  return digest.toString('hex', 0, FINGERPRINT_BYTES);
}

/** A fingerprint's hash as two 32-bit words. */
export function fingerprintWords(hash: string): readonly [number, number] {
  const bytes = Buffer.from(hash, 'hex');
  return [bytes.readUInt32LE(0), bytes.readUInt32LE(4)];
}
