/** What a process writes of its memory as it grows: the metrics of one that was ended over its limit are gone. */
import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { Clock, Log } from '@jasmineroute/core';
import { daemonEvents } from '../events.js';

/** Time between two looks, milliseconds. */
const LOOK_MS = 500;

/** Growth beyond the last peak that is logged, bytes. */
const STEP_BYTES = 4 * 1024 * 1024;

const BYTES_PER_MB = 1024 * 1024;
const BYTES_PER_KB = 1024;

/** Memory of a process, bytes. What is resident beyond the heap and the buffers is the runtime's own. */
export interface MemoryUsage extends Pick<NodeJS.MemoryUsage, 'rss' | 'heapUsed' | 'heapTotal' | 'external'> {
  /** Without the pages of files, such as the program's own: what a limit of a process counts. Undefined: not told here. */
  readonly anonymous: number | undefined;
  /** What the runtime's compilers hold at the moment, and held at most. */
  readonly compilers: number;
  readonly compilersPeak: number;
}

/** Reads the memory of a process. @throws Error where the system does not tell it: reading it takes a free descriptor. */
export interface MemoryReader {
  /** Resident memory alone, bytes: much cheaper than all. */
  resident(): number;
  usage(): MemoryUsage;
}

/** Anonymous memory of this process, bytes; undefined on systems without this file, as it is only told of in addition. */
function readAnonymous(): number | undefined {
  try {
    const [, kilobytes] = /^RssAnon:\s+(\d+) kB$/m.exec(readFileSync('/proc/self/status', 'utf8')) ?? [];
    return kilobytes === undefined ? undefined : Number(kilobytes) * BYTES_PER_KB;
  } catch {
    return undefined;
  }
}

/** Reads the memory of this process. */
export const ownMemory: MemoryReader = {
  resident: () => process.memoryUsage.rss(),
  usage: () => {
    const { malloced_memory: compilers, peak_malloced_memory: compilersPeak } = getHeapStatistics();
    return { ...process.memoryUsage(), anonymous: readAnonymous(), compilers, compilersPeak };
  },
};

const inMb = (bytes: number): number => Math.round((bytes / BYTES_PER_MB) * 10) / 10;

const fieldsOf = (usage: MemoryUsage): Record<string, number | undefined> => ({
  residentMb: inMb(usage.rss),
  anonymousMb: usage.anonymous === undefined ? undefined : inMb(usage.anonymous),
  heapUsedMb: inMb(usage.heapUsed),
  heapReservedMb: inMb(usage.heapTotal),
  externalMb: inMb(usage.external),
  compilersMb: inMb(usage.compilers),
  compilersPeakMb: inMb(usage.compilersPeak),
});

/**
 * Logs each peak that lies a step above the last one that was logged, and once that the memory can't be read. Returns the way to
 * stop.
 */
export function watchMemory(clock: Clock, log: Log, memory: MemoryReader = ownMemory): () => void {
  let logged = 0;
  let isUnread = false;
  let callOff = (): void => undefined;
  const logPeak = (): void => {
    if (memory.resident() < logged + STEP_BYTES) return;
    const usage = memory.usage();
    logged = usage.rss;
    log.event(daemonEvents.memoryGrew, fieldsOf(usage));
  };
  const look = (): void => {
    try {
      logPeak();
      isUnread = false;
    } catch (error) {
      if (!isUnread) log.event(daemonEvents.memoryUnread, { problem: String(error) });
      isUnread = true;
    }
    callOff = clock.after(LOOK_MS, look);
  };
  look();
  return () => {
    callOff();
  };
}
