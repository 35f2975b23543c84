/** Folders of runs. */
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * Makes a fresh folder for one run, under the given one or the temporary one. Data of an earlier run would be
 * taken for the cluster's own: control instances would look for each other at the old addresses, and old
 * executions would count as new.
 */
export function freshFolder(parent: string, name: string): string {
  if (parent !== '') mkdirSync(parent, { recursive: true });
  return mkdtempSync(join(parent === '' ? tmpdir() : parent, `${name}-`));
}
