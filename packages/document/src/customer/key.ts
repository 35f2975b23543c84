/** Keys of customers and operators. */
import { createHash } from 'node:crypto';

const PREFIX = 'sha256:';

/** The form in which documents hold a key. Keys are long random texts, so a plain digest is enough. */
export function hashKey(key: string): string {
  return PREFIX + createHash('sha256').update(key, 'utf8').digest('hex');
}
