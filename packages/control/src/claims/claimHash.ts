/** Short forms of what a claim is about: the table holds no texts. */
import { createHash } from 'node:crypto';

/** Bytes of a key's hash: 128 bits, so that two keys never meet by chance. */
export const KEY_HASH_BYTES = 16;

/** Hash of a service's customer's key. Lengths go in, so that no two triples give the same bytes. */
export function hashClaimKey(service: string, customer: string, key: string): Buffer {
  const text = JSON.stringify([service, customer, key]);
  return createHash('sha256').update(text).digest().subarray(0, KEY_HASH_BYTES);
}

/** Hash of an attempt's id, 32 bits: it only tells attempts at the same key apart. */
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

/** The same hash in two words. */
export function fingerprintWords(hash: string): readonly [number, number] {
  const bytes = Buffer.from(hash, 'hex');
  return [bytes.readUInt32LE(0), bytes.readUInt32LE(4)];
}
