/** Measures the memory of something by difference. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Turns in which buffers that nobody holds are given back. */
const SETTLE_TURNS = 5;

/** Bytes in use after collection: the heap and the buffers outside it. */
export async function bytesInUse(): Promise<number> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    collect();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Bytes that what `make` returns holds. */
export async function bytesHeld<T>(make: () => T): Promise<{ readonly bytes: number; readonly value: T }> {
  const before = await bytesInUse();
  const value = make();
  const after = await bytesInUse();
  return { bytes: after - before, value };
}
