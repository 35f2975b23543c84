/** Measures the memory of a value by the difference in use. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Iterations of the event loop within which unreferenced buffers are released. */
const SETTLE_TURNS = 5;

/** Bytes in use after a garbage collection, on the heap and in external buffers. */
export async function bytesInUse(): Promise<number> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    collect();
    await new Promise((resolve) => setImmediate(resolve));
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Bytes that the value returned by `make` retains. */
export async function retainedBytes<T>(
  make: () => T,
): Promise<{ readonly bytes: number; readonly value: T }> {
  const before = await bytesInUse();
  const value = make();
  const after = await bytesInUse();
  return { bytes: after - before, value };
}
