import { randomUUID } from 'node:crypto';

/** A fresh id with a prefix that tells what it names: "req-…". */
export function newId(prefix: string): string {
  return `${prefix}-${randomUUID()}`;
}
