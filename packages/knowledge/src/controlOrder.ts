/** Order in which a process contacts control instances, so that the load is spread over all of them. */
import { createHash } from 'node:crypto';

/** Entries per control instance that streams loads, work and caches. A few entries get updates soonest over one instance. */
const ENTRIES_PER_CONTROL = 8;

/** Roles that take the instances from the end: with few entries, load and cache reports go to another instance than work. */
const REVERSED_ROLES: ReadonlySet<string> = new Set(['agent']);

/** Identity of the following process. */
export interface FollowerIdentity {
  readonly name: string;
  readonly role: string;
}

/** Rendezvous hash of a control instance for a follower: adding or removing an instance moves no unaffected follower. */
function score(name: string, control: string): number {
  return createHash('sha1').update(`${name} ${control}`).digest().readUInt32BE(0);
}

/**
 * Control instances in order of preference: first the primary, which streams loads, work and caches to the process and takes
 * its reports, then the spares. The primary is chosen among as many instances as `entries` entries need; with 0, the count
 * is unknown, as after a restart of all processes, and it is chosen among all instances.
 */
export function controlOrder(
  { name, role }: FollowerIdentity,
  controls: readonly string[],
  entries: number,
): string[] {
  const sorted = [...controls].sort();
  if (REVERSED_ROLES.has(role)) sorted.reverse();
  const sharingCount = entries === 0 ? controls.length : Math.ceil(entries / ENTRIES_PER_CONTROL);
  const rankByScore = (some: readonly string[]): string[] =>
    [...some].sort((a, b) => score(name, b) - score(name, a));
  const [first, ...spares] = rankByScore(sorted.slice(0, sharingCount));
  return first === undefined ? [] : [first, ...rankByScore([...spares, ...sorted.slice(sharingCount)])];
}
