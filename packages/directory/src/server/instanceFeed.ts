/** Instance changes for any number of watchers, each with its own position. */
import { BUCKETS, bucketDigests, bucketOf } from '../message/index.js';
import type { Instance } from '../view/index.js';
import type { InstanceSource } from './source.js';

/** Changes stored for lagging watchers. One that lags further behind receives a new snapshot. */
const MAX_CHANGES = 8_192;
/** Instances per event. A snapshot is sent in parts so that it does not delay keep-alive events of other streams. */
const INSTANCES_PER_EVENT = 512;

/** Selects the instances that a watcher receives. */
export type InstanceFilter = (instance: Instance) => boolean;

/** Changes after a position. */
export interface InstanceChanges {
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
}

/** Complete contents of some buckets. */
export interface BucketContents {
  readonly buckets: readonly number[];
  readonly instances: readonly Instance[];
}

/** A bounded log of changed names. Their current state is looked up when the log is read. */
export class InstanceFeed {
  private names: string[] = [];
  private firstPosition = 0;

  constructor(private readonly source: InstanceSource) {
    source.onChange((names) => {
      this.names.push(...names);
      this.trim();
    });
  }

  /** Position after the newest change. */
  endPosition(): number {
    return this.firstPosition + this.names.length;
  }

  /** Changes after `position`; undefined if the log does not reach back that far. */
  since(position: number, wanted: InstanceFilter): InstanceChanges | undefined {
    if (position < this.firstPosition) return undefined;
    const current = this.source.current();
    const changed: Instance[] = [];
    const removed: string[] = [];
    for (const name of new Set(this.names.slice(position - this.firstPosition))) {
      const instance = current.get(name);
      if (instance !== undefined && wanted(instance)) changed.push(instance);
      else removed.push(name);
    }
    return { changed, removed };
  }

  /** Buckets that differ from a watcher's digests, in parts; all buckets if it sent no digests. */
  differingBuckets(digests: readonly number[], wanted: InstanceFilter): BucketContents[] {
    const instances = [...this.source.current().values()].filter(wanted);
    const own = digests.length === BUCKETS ? bucketDigests(instances) : [];
    const differing = Array.from({ length: BUCKETS }, (_, bucket) => bucket).filter(
      (bucket) => own.length === 0 || own[bucket] !== digests[bucket],
    );
    const byBucket = new Map<number, Instance[]>(differing.map((bucket) => [bucket, []]));
    for (const instance of instances) byBucket.get(bucketOf(instance.name))?.push(instance);
    return splitIntoParts(byBucket);
  }

  /** Addresses of up to `count` randomly chosen entries that are alive. */
  randomEntries(count: number): string[] {
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

  private trim(): void {
    if (this.names.length < 2 * MAX_CHANGES) return;
    const excess = this.names.length - MAX_CHANGES;
    this.names = this.names.slice(excess);
    this.firstPosition += excess;
  }
}

function splitIntoParts(byBucket: ReadonlyMap<number, readonly Instance[]>): BucketContents[] {
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
