/** Which start of a target is meant: a target may start again under the id that it had. */

import type { AnnouncedTarget } from '../gen/jasmineroute/control_pb.js';

/** One start of a target. What is believed, held or counted of a target belongs to one start of it. */
export interface TargetStart {
  /** The id under which it announces itself; the same for all of its starts. */
  readonly name: string;
  /**
   * Unix time of the start, milliseconds, as the target tells it; absent: it tells none. No clock: it is compared with that
   * of another start of the same target only.
   */
  readonly born?: number;
}

/** Text under which a start is known inside: no two starts of any targets have the same. */
export function startId({ name, born }: TargetStart): string {
  return born === undefined ? name : `${name}/${born}`;
}

/**
 * Order of two starts of one target: below 0 when `one` is older than `other`, 0 when they are the same start. A target
 * that tells its start is newer than the same without: it learnt to tell it by a new start.
 */
export function compareStarts(one: TargetStart, other: TargetStart): number {
  if (one.born === other.born) return 0;
  if (one.born === undefined) return -1;
  if (other.born === undefined) return 1;
  return one.born - other.born;
}

/** The start that a message tells; a sender that names none is told of under the id. */
export function startOf({ id, name, born }: AnnouncedTarget): TargetStart {
  return { name: name === '' ? id : name, born: born === undefined ? undefined : Number(born) };
}

/** A start as messages hold it. */
export function startFields({ name, born }: TargetStart): { name: string; born: bigint | undefined } {
  return { name, born: born === undefined ? undefined : BigInt(born) };
}

/** What hearing of a start means. */
export interface HeardStart {
  /** A newer one was heard of: whatever it says is late. */
  readonly isOld: boolean;
  /** The start that was the newest until now, and is over. */
  readonly ended?: TargetStart;
}

/**
 * The newest start of each target that was heard of. A call of an older start may arrive seconds late, over another way
 * than the newer one's; believed, it would bring back what is over, or take away what is alive.
 */
export class NewestStarts {
  private readonly starts = new Map<string, TargetStart>();

  /** The newest start of a target; undefined when none was heard of. */
  of(name: string): TargetStart | undefined {
    return this.starts.get(name);
  }

  /** Takes a start that was heard of. */
  hear(start: TargetStart): HeardStart {
    const known = this.starts.get(start.name);
    const order = known === undefined ? 1 : compareStarts(start, known);
    if (order < 0) return { isOld: true };
    this.starts.set(start.name, start);
    return { isOld: false, ended: order > 0 ? known : undefined };
  }

  /** Forgets a start, if no newer one of the target was heard of since. */
  forget(start: TargetStart): void {
    const known = this.starts.get(start.name);
    if (known !== undefined && compareStarts(start, known) === 0) this.starts.delete(start.name);
  }
}
