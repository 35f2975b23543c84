/** Where the programs lie, seen from this built package. */
import { fileURLToPath } from 'node:url';

const program = (path: string): string => fileURLToPath(new URL(`../../../${path}`, import.meta.url));

/** Scripts by program. */
export const programs = {
  daemon: program('daemon/dist/main.js'),
  ctl: program('ctl/dist/main.js'),
  bench: program('bench/dist/main.js'),
} as const;
