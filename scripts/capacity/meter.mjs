// Processor time, memory and bytes of processes, as the kernel and V8 count them.
import { readFileSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';

/** Ticks a second of the times in /proc, fixed on Linux for user programs. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;
const COLLECTIONS = 4;

/** Processor time of another process since its start, in seconds; steps of 10 ms. */
export function processorSeconds(pid) {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command, in brackets, may hold spaces; fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Resident memory of a process, bytes. */
export function residentBytes(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB;
}

/**
 * Bytes that a process read and wrote so far by system calls.
 * Sockets and files count alike, so a process that is to show its network bytes must leave files alone.
 */
export function movedBytes(pid) {
  const text = readFileSync(`/proc/${pid}/io`, 'utf8');
  const field = (name) => Number(new RegExp(`^${name}: (\\d+)`, 'm').exec(text)?.[1] ?? 0);
  return { received: field('rchar'), sent: field('wchar') };
}

/** Processor time and bytes of processes, and the time of the reading in seconds. */
export function readings(pids) {
  const moved = pids.map((pid) => movedBytes(pid));
  return {
    at: performance.now() / 1_000,
    processor: pids.map((pid) => processorSeconds(pid)),
    sent: moved.map(({ sent }) => sent),
    received: moved.map(({ received }) => received),
  };
}

/** Rates of each process between two readings, a second. */
export function ratesBetween(before, after) {
  const seconds = after.at - before.at;
  const rate = (name) => after[name].map((value, place) => (value - before[name][place]) / seconds);
  return { processor: rate('processor'), sent: rate('sent'), received: rate('received'), seconds };
}

/** Runs `work` for a time and gives the rates of `pids` over it. */
export async function ratesOver(pids, ms, work = () => Promise.resolve()) {
  const before = readings(pids);
  await Promise.all([wait(ms), work()]);
  return ratesBetween(before, readings(pids));
}

/** Bytes of live objects and buffers of this process after collection; needs `--expose-gc`. */
export async function liveBytes() {
  for (let round = 0; round < COLLECTIONS; round += 1) {
    globalThis.gc();
    await new Promise((resolve) => setTimeout(resolve, 0));
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Processor time of this process while `work` runs, seconds. */
export async function processorOf(work) {
  const before = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1e6;
}
