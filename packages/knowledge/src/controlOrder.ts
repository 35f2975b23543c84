/** Which control instances a process follows and reports to, so that all of them share the work. */
import { createHash } from 'node:crypto';

/** Entries for each of which one more control instance tells loads, work and caches. Few hear all of it soonest from one. */
const ENTRIES_EACH = 8;

/** Roles that take the control instances from the end: loads and caches are heard by others than work, where few serve. */
const FROM_END: ReadonlySet<string> = new Set(['agent']);

/** Who follows. */
export interface FollowerName {
  readonly name: string;
  readonly role: string;
}

/** Rendezvous score of a control instance for a follower: it moves no other follower when one comes or goes. */
function score(name: string, control: string): number {
  return createHash('sha1').update(`${name} ${control}`).digest().readUInt32BE(0);
}

/**
 * Control instances in the order in which a process asks them: first the one that tells it loads, work and caches and takes
 * its reports, then its spares. With `entries` entries the first ones are as many as are needed to share them; 0: nobody knows
 * yet how many there are, as after a restart of all, and all instances share them.
 */
export function controlOrder(
  { name, role }: FollowerName,
  controls: readonly string[],
  entries: number,
): string[] {
  const sorted = [...controls].sort();
  if (FROM_END.has(role)) sorted.reverse();
  const sharing = entries === 0 ? controls.length : Math.ceil(entries / ENTRIES_EACH);
  const byScore = (some: readonly string[]): string[] =>
    [...some].sort((a, b) => score(name, b) - score(name, a));
  const [first, ...spares] = byScore(sorted.slice(0, sharing));
  return first === undefined ? [] : [first, ...byScore([...spares, ...sorted.slice(sharing)])];
}
