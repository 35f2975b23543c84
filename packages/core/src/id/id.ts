import { randomUUID } from 'node:crypto';

/** A new unique id with a prefix for the kind of object, for example "req-…". */
export function newId(prefix: string): string {
  return `${prefix}-${randomUUID()}`;
}
