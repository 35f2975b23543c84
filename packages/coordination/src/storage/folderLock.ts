/** A lock file that tells which process has a folder, and whether that process still lives. */
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { newId } from '@jasmineroute/core';
import { FolderLocked } from './disk.js';
import type { Release } from './disk.js';

const LOCK_FILE = 'lock';

/** Takeovers of stale locks that are tried before giving up. */
const MAX_TAKEOVERS = 5;

/** Field of /proc/<pid>/stat, counted after the command's closing bracket, that holds the start time. */
const START_TIME_FIELD = 19;

/** One process on one boot of one machine. */
interface Holder {
  readonly pid: number;
  /** Start time in clock ticks since boot; empty where /proc is not at hand. */
  readonly started: string;
  /** Id of the boot; empty where /proc is not at hand. */
  readonly boot: string;
}

const readText = (path: string): Promise<string> => readFile(path, 'utf8').catch(() => '');

async function startTime(pid: number): Promise<string> {
  const stat = await readText(`/proc/${pid}/stat`);
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return fields[START_TIME_FIELD] ?? '';
}

async function holderOf(pid: number): Promise<Holder> {
  const boot = await readText('/proc/sys/kernel/random/boot_id');
  return { pid, started: await startTime(pid), boot: boot.trim() };
}

/** Signal 0 delivers nothing; EPERM means that the process exists and belongs to somebody else. */
function exists(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM';
  }
}

/**
 * Process ids are given out again, always so in containers, where the first process is 1 after every restart.
 * A lock by pid alone would then keep its own successor out for good, so the start time and boot count too.
 */
async function isAlive(holder: Holder): Promise<boolean> {
  if (!exists(holder.pid)) return false;
  const now = await holderOf(holder.pid);
  return now.started === holder.started && now.boot === holder.boot;
}

function parseHolder(text: string): Holder | undefined {
  try {
    return JSON.parse(text) as Holder;
  } catch {
    return undefined;
  }
}

/** Creates the lock file with its whole content at once. Returns false when there is one. */
async function createLock(folder: string, path: string, content: string): Promise<boolean> {
  const draft = join(folder, `${newId('lock')}.tmp`);
  await writeFile(draft, content, { mode: 0o600 });
  try {
    await link(draft, path);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw error;
  } finally {
    await rm(draft, { force: true });
  }
}

/**
 * Puts a stale lock aside. Two processes may find the same stale lock: the second could then put aside the
 * fresh lock of the first. It sees that by the content, puts it back and gives up.
 */
async function removeStale(folder: string, path: string, judged: string): Promise<void> {
  const aside = join(folder, `${newId('lock')}.tmp`);
  await rename(path, aside);
  const moved = await readText(aside);
  if (moved !== judged) {
    await link(aside, path).catch(() => undefined);
    await rm(aside, { force: true });
    throw new FolderLocked(folder, moved);
  }
  await rm(aside, { force: true });
}

/** Takes a folder for this process. @throws FolderLocked when a living process has it. */
export async function lockFolder(folder: string): Promise<Release> {
  const path = join(folder, LOCK_FILE);
  const content = JSON.stringify(await holderOf(process.pid));
  for (let attempt = 0; attempt < MAX_TAKEOVERS; attempt += 1) {
    if (await createLock(folder, path, content)) return () => rm(path, { force: true });
    const text = await readText(path);
    if (text === '') continue;
    const holder = parseHolder(text);
    if (holder !== undefined && (await isAlive(holder))) throw new FolderLocked(folder, String(holder.pid));
    await removeStale(folder, path, text);
  }
  throw new FolderLocked(folder, 'unknown');
}
