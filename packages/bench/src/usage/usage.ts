/** Processor time and memory of a process, as the kernel counts them. */
import { readFileSync } from 'node:fs';

/** Ticks a second of the times in /proc; fixed on Linux for user programs. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;

/** Processor time since the start of the process, milliseconds; steps of 10 ms. */
export function processorMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command, in brackets, may hold spaces; fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const [user, system] = [Number(fields[11]), Number(fields[12])];
  return ((user + system) / TICKS_PER_SECOND) * 1_000;
}

/** Resident memory, bytes. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KIB;
}
