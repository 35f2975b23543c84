/** Digests of instances by buckets of names, so that two sides find out what they hold differently. */
import type { Instance } from '../view/index.js';

/** Number of buckets: at 5,000 instances one holds 80. */
export const BUCKETS = 64;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  // Spreads the last characters over all bits.
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  return (value ^ (value >>> 13)) >>> 0;
}

/** Bucket of a name. */
export function bucketOf(name: string): number {
  return hash(name) % BUCKETS;
}

const digests = new WeakMap<Instance, number>();

/** Digest of all that is served of an instance. */
function digestOf(instance: Instance): number {
  const known = digests.get(instance);
  if (known !== undefined) return known;
  const { name, incarnation, role, address, dataCentre, health, target } = instance;
  const models = target?.models.map(({ model, version, adapters }) => [model, version, adapters]);
  const state =
    target === undefined
      ? []
      : [target.service, target.kind, target.engineIncarnation, target.ready, target.capacity, target.role];
  const digest = hash(
    JSON.stringify([name, String(incarnation), role, address, dataCentre, health, state, models]),
  );
  digests.set(instance, digest);
  return digest;
}

/** Digest of each bucket; the order of instances does not matter. */
export function bucketDigests(instances: Iterable<Instance>): number[] {
  const buckets = new Array<number>(BUCKETS).fill(0);
  for (const instance of instances) {
    const bucket = bucketOf(instance.name);
    buckets[bucket] = ((buckets[bucket] ?? 0) + digestOf(instance)) >>> 0;
  }
  return buckets;
}
