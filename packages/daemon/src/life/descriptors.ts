/** File descriptors of this process: each connection takes one. */
import { readdirSync } from 'node:fs';

const OWN_DESCRIPTORS = '/proc/self/fd';

/** Number of open descriptors; undefined on systems that don't tell, and while none is free to ask with. */
export function openDescriptors(): number | undefined {
  try {
    return readdirSync(OWN_DESCRIPTORS).length;
  } catch {
    return undefined;
  }
}
