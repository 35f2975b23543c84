/** Changes of instances for any number of watchers, each with its own place. */
import { BUCKETS, bucketDigests, bucketOf } from '../message/index.js';
import type { Instance } from '../view/index.js';
import type { InstanceSource } from './source.js';

/** Changes that are held for watchers that lag; one that lags more is compared anew. */
const HELD_CHANGES = 8_192;
/** Instances in one event: a snapshot goes out in parts, so that it does not hold up the heartbeats of others. */
const INSTANCES_PER_EVENT = 512;

/** Which instances a watcher wants. */
export type InstanceFilter = (instance: Instance) => boolean;

/** What changed after a place. */
export interface InstanceChanges {
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
}

/** Some buckets, complete. */
export interface BucketContents {
  readonly buckets: readonly number[];
  readonly instances: readonly Instance[];
}

/** A bounded log of the names that changed; what they are now is looked up when it is read. */
export class InstanceFeed {
  private names: string[] = [];
  private first = 0;

  constructor(private readonly source: InstanceSource) {
    source.onChange((names) => {
      this.names.push(...names);
      this.cut();
    });
  }

  /** Place after the newest change. */
  end(): number {
    return this.first + this.names.length;
  }

  /** What changed after `place`; undefined when the log does not reach back so far. */
  since(place: number, wanted: InstanceFilter): InstanceChanges | undefined {
    if (place < this.first) return undefined;
    const current = this.source.current();
    const changed: Instance[] = [];
    const removed: string[] = [];
    for (const name of new Set(this.names.slice(place - this.first))) {
      const instance = current.get(name);
      if (instance !== undefined && wanted(instance)) changed.push(instance);
      else removed.push(name);
    }
    return { changed, removed };
  }

  /** The buckets that differ from a watcher's digests, in parts; all of them when it has none. */
  differing(digests: readonly number[], wanted: InstanceFilter): BucketContents[] {
    const instances = [...this.source.current().values()].filter(wanted);
    const own = digests.length === BUCKETS ? bucketDigests(instances) : [];
    const differing = Array.from({ length: BUCKETS }, (_, bucket) => bucket).filter(
      (bucket) => own.length === 0 || own[bucket] !== digests[bucket],
    );
    const byBucket = new Map<number, Instance[]>(differing.map((bucket) => [bucket, []]));
    for (const instance of instances) byBucket.get(bucketOf(instance.name))?.push(instance);
    return partsOf(byBucket);
  }

  /** Addresses of entries that take connections, at most `count`, another choice at each call. */
  someEntries(count: number): string[] {
    const addresses = [...this.source.current().values()]
      .filter(({ role, health }) => role === 'entry' && health === 'alive')
      .map(({ address }) => address);
    for (let index = 0; index < Math.min(count, addresses.length); index += 1) {
      const other = index + Math.floor(Math.random() * (addresses.length - index));
      const [a, b] = [addresses[index] ?? '', addresses[other] ?? ''];
      addresses[index] = b;
      addresses[other] = a;
    }
    return addresses.slice(0, count);
  }

  private cut(): void {
    if (this.names.length < 2 * HELD_CHANGES) return;
    const excess = this.names.length - HELD_CHANGES;
    this.names = this.names.slice(excess);
    this.first += excess;
  }
}

function partsOf(byBucket: ReadonlyMap<number, readonly Instance[]>): BucketContents[] {
  const parts: { buckets: number[]; instances: Instance[] }[] = [];
  for (const [bucket, instances] of byBucket) {
    let part = parts.at(-1);
    if (part === undefined || part.instances.length >= INSTANCES_PER_EVENT)
      parts.push((part = { buckets: [], instances: [] }));
    part.buckets.push(bucket);
    part.instances.push(...instances);
  }
  return parts;
}
