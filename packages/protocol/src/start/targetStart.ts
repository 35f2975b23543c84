/** Identifies a start of a target: a target may restart under the same id. */

import type { AnnouncedTarget } from '../gen/jasmineroute/control_pb.js';

/** One start of a target. All state about a target belongs to one of its starts. */
export interface TargetStart {
  /** The id under which the target announces itself; the same for all of its starts. */
  readonly name: string;
  /**
   * Unix time of the start, milliseconds, as reported by the target; absent: not reported. It is compared only with those of
   * other starts of the same target, never with a clock.
   */
  readonly born?: number;
}

/** Internal id of a start, unique across the starts of all targets. */
export function startId({ name, born }: TargetStart): string {
  return born === undefined ? name : `${name}/${born}`;
}

/**
 * Order of two starts of one target: negative if `one` is older than `other`, 0 if they are the same start. A start with a
 * time is newer than one without: a target begins to report its start only after a restart with newer software.
 */
export function compareStarts(one: TargetStart, other: TargetStart): number {
  if (one.born === other.born) return 0;
  if (one.born === undefined) return -1;
  if (other.born === undefined) return 1;
  return one.born - other.born;
}

/** The start in a message. Without a name in the message, the id is the name. */
export function startOf({ id, name, born }: AnnouncedTarget): TargetStart {
  return { name: name === '' ? id : name, born: born === undefined ? undefined : Number(born) };
}

/** The fields of a start in messages. */
export function startFields({ name, born }: TargetStart): { name: string; born: bigint | undefined } {
  return { name, born: born === undefined ? undefined : BigInt(born) };
}

/** Result of observing a start. */
export interface StartObservation {
  /** Whether a newer start is known, so that messages of this one are outdated. */
  readonly isOld: boolean;
  /** The start that was the newest before and has ended. */
  readonly ended?: TargetStart;
}

/**
 * The newest known start of each target. A call of an older start may arrive seconds late, on another path than those of the
 * newer one. If it were accepted, it would restore an ended target or remove a live one.
 */
export class NewestStarts {
  private readonly starts = new Map<string, TargetStart>();

  /** The newest known start of a target; undefined: none. */
  newestOf(name: string): TargetStart | undefined {
    return this.starts.get(name);
  }

  /** Records an observed start. */
  observe(start: TargetStart): StartObservation {
    const known = this.starts.get(start.name);
    const order = known === undefined ? 1 : compareStarts(start, known);
    if (order < 0) return { isOld: true };
    this.starts.set(start.name, start);
    return { isOld: false, ended: order > 0 ? known : undefined };
  }

  /** Removes a start, unless a newer one of the target is known. */
  remove(start: TargetStart): void {
    const known = this.starts.get(start.name);
    if (known !== undefined && compareStarts(start, known) === 0) this.starts.delete(start.name);
  }
}
