/** A lock file that identifies the process that uses a folder, so that a stale lock can be detected. */
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { newId } from '@jasmineroute/core';
import { FolderLocked } from './disk.js';
import type { ReleaseLock } from './disk.js';

const LOCK_FILE = 'lock';

/** Attempts to take over a stale lock before giving up. */
const MAX_TAKEOVERS = 5;

/** Index of the start time in /proc/<pid>/stat, counted from the field after the command's closing bracket. */
const START_TIME_FIELD = 19;

/** One process on one boot of one machine. */
interface Holder {
  readonly pid: number;
  /** Start time in clock ticks since boot; empty where /proc is not available. */
  readonly started: string;
  /** Id of the boot; empty where /proc is not available. */
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

/** Signal 0 only checks for existence; EPERM means that the process exists and belongs to another user. */
function exists(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM';
  }
}

/**
 * Process ids are reused, in containers always: the first process has id 1 after every restart. A lock by pid alone
 * would then lock out the restarted process for good, so the start time and the boot id are compared too.
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

/** Creates the lock file with its whole content at once. Returns false if it exists already. */
async function createLock(folder: string, path: string, content: string): Promise<boolean> {
  const temporaryPath = join(folder, `${newId('lock')}.tmp`);
  await writeFile(temporaryPath, content, { mode: 0o600 });
  try {
    await link(temporaryPath, path);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw error;
  } finally {
    await rm(temporaryPath, { force: true });
  }
}

/**
 * Moves a stale lock away and deletes it. Two processes may find the same stale lock, and the second one could then
 * move the new lock of the first one. It detects that by the content, restores the lock and gives up.
 */
async function removeStale(folder: string, path: string, staleContent: string): Promise<void> {
  const movedPath = join(folder, `${newId('lock')}.tmp`);
  await rename(path, movedPath);
  const movedContent = await readText(movedPath);
  if (movedContent !== staleContent) {
    await link(movedPath, path).catch(() => undefined);
    await rm(movedPath, { force: true });
    throw new FolderLocked(folder, movedContent);
  }
  await rm(movedPath, { force: true });
}

/** Locks a folder for this process. @throws FolderLocked when a running process holds the lock. */
export async function lockFolder(folder: string): Promise<ReleaseLock> {
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
