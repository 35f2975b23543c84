/** Digests of instances, grouped into buckets by name, with which two processes find their differences. */
import type { Instance } from '../view/index.js';

/** Number of buckets. With 5,000 instances each holds about 80. */
export const BUCKETS = 64;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  // Mixes the last characters into all bits.
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  return (value ^ (value >>> 13)) >>> 0;
}

/** Index of the bucket of a name. */
export function bucketOf(name: string): number {
  return hash(name) % BUCKETS;
}

const digests = new WeakMap<Instance, number>();

/** Digest of all fields of an instance that are sent to watchers. */
function digestOf(instance: Instance): number {
  const known = digests.get(instance);
  if (known !== undefined) return known;
  const { name, incarnation, role, address, dataCentre, health, target } = instance;
  const models = target?.models.map(({ model, version, adapters }) => [model, version, adapters]);
  const state =
    target === undefined
      ? []
      : [target.service, target.kind, target.engineIncarnation, target.ready, target.capacity, target.role];
  // Without a version the digest is that of processes of releases that know none.
  const version =
    target?.softwareVersion === undefined || target.softwareVersion === '' ? [] : [target.softwareVersion];
  const fields = [name, String(incarnation), role, address, dataCentre, health, state, models, ...version];
  const digest = hash(JSON.stringify(fields));
  digests.set(instance, digest);
  return digest;
}

/** Digest of each bucket, independent of the order of instances. */
export function bucketDigests(instances: Iterable<Instance>): number[] {
  const buckets = new Array<number>(BUCKETS).fill(0);
  for (const instance of instances) {
    const bucket = bucketOf(instance.name);
    buckets[bucket] = ((buckets[bucket] ?? 0) + digestOf(instance)) >>> 0;
  }
  return buckets;
}
