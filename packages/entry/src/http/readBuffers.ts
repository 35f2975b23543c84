/** Buffers of what was read from callers, which the runtime frees late. */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** What is collected: objects that were made lately, which takes about a millisecond, or all. */
export type Collection = 'minor' | 'major';

/** The memory of the runtime, as far as it is needed here. */
export interface RuntimeMemory {
  readonly collect: (type: Collection) => void;
  /** Bytes of buffers outside the heap, used or not. */
  readonly bufferBytes: () => number;
}

type Collector = (options: { readonly type: Collection }) => void;

/** The collector is there only under a flag when a context is made. */
function openCollector(): Collector {
  setFlagsFromString('--expose-gc');
  const collector = runInNewContext('gc') as Collector;
  setFlagsFromString('--no-expose-gc');
  return collector;
}

let collector: Collector | undefined;

const ownRuntime: RuntimeMemory = {
  collect: (type) => {
    collector ??= openCollector();
    collector({ type });
  },
  bufferBytes: () => getHeapStatistics().external_memory,
};

/** Share of the limit that is read between two collections. */
const INTERVAL_SHARE = 0.125;

/**
 * Has unused buffers freed from time to time. They lie outside the heap, and by itself the runtime waits until there are 64 MB of
 * them: more than a small machine has left.
 */
export class ReadBuffers {
  private sinceCollection = 0;

  /** @param limitBytes bytes of buffers above which those that were in use for long are collected, too. */
  constructor(
    private readonly limitBytes: number,
    private readonly runtime = ownRuntime,
  ) {}

  /** Counts bytes that were read. */
  record(bytes: number): void {
    this.sinceCollection += bytes;
    if (this.sinceCollection < this.limitBytes * INTERVAL_SHARE) return;
    this.sinceCollection = 0;
    this.runtime.collect('minor');
    if (this.runtime.bufferBytes() > this.limitBytes) this.runtime.collect('major');
  }
}
