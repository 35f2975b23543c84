/** A disk in memory that fails on demand and forgets on a crash what was not synced. For tests. */
import { dirname } from 'node:path';
import { FolderLocked } from './disk.js';
import type { Disk, DiskFile, Release } from './disk.js';

const NO_BYTES = new Uint8Array();

/** Content now and content that survives a crash. */
interface Inode {
  current: Uint8Array;
  synced: Uint8Array;
}

/** A random number in [0, 1). */
export type Random = () => number;

/** A system error with a code. */
export function systemError(code: string): Error {
  return Object.assign(new Error(`${code}: made by the test`), { code });
}

const isPrefix = (short: Uint8Array, long: Uint8Array): boolean =>
  short.length <= long.length && Buffer.compare(short, long.subarray(0, short.length)) === 0;

/** What a crash leaves of a file: the synced content and a part of what was appended, or either version. */
function contentAfterCrash(inode: Inode, random: Random): Uint8Array {
  const { current, synced } = inode;
  if (isPrefix(synced, current)) {
    const extra = Math.floor(random() * (current.length - synced.length + 1));
    return current.slice(0, synced.length + extra);
  }
  return random() < 0.5 ? synced.slice() : current.slice();
}

/** One machine's disk between two crashes. */
export class MemoryDisk implements Disk {
  /** Set to make writes fail: they leave half of their data, as a full disk does. */
  writeError: string | undefined;
  /** Set to make syncs fail. */
  syncError: string | undefined;
  /** Set to make syncs take time. */
  syncDelay: () => Promise<void> = () => Promise.resolve();
  private dead = false;
  private readonly locked = new Set<string>();

  private constructor(
    private readonly names: Map<string, Inode>,
    private readonly lasting: Map<string, Inode>,
  ) {}

  /** An empty disk. */
  static empty(): MemoryDisk {
    return new MemoryDisk(new Map(), new Map());
  }

  /** Ends this disk; returns the one found after the restart, without all or some of what was not synced. */
  crash(random: Random): MemoryDisk {
    this.dead = true;
    const names = new Map<string, Inode>();
    for (const [path, inode] of this.lasting) {
      const content = contentAfterCrash(inode, random);
      names.set(path, { current: content, synced: content });
    }
    return new MemoryDisk(names, new Map(names));
  }

  /** Changes one byte of a file, as a failing disk does. */
  flip(path: string, offset: number): void {
    const inode = this.inodeOf(path);
    inode.current = inode.current.slice();
    inode.current[offset] = (inode.current[offset] ?? 0) ^ 0x10;
  }

  async ensureFolder(): Promise<void> {
    return this.act(() => undefined);
  }

  async list(folder: string): Promise<string[]> {
    return this.act(() => {
      const inside = [...this.names.keys()].filter((path) => dirname(path) === folder);
      return inside.map((path) => path.slice(folder.length + 1));
    });
  }

  async read(path: string): Promise<Uint8Array> {
    return this.act(() => this.inodeOf(path).current.slice());
  }

  async open(path: string): Promise<DiskFile> {
    return this.act(() => {
      const inode = this.names.get(path) ?? { current: NO_BYTES, synced: NO_BYTES };
      this.names.set(path, inode);
      return this.handle(inode);
    });
  }

  async rename(from: string, to: string): Promise<void> {
    return this.act(() => {
      const inode = this.inodeOf(from);
      this.names.delete(from);
      this.names.set(to, inode);
    });
  }

  async remove(path: string): Promise<void> {
    return this.act(() => {
      this.names.delete(path);
    });
  }

  async syncFolder(folder: string): Promise<void> {
    return this.act(() => {
      for (const path of [...this.lasting.keys()]) if (dirname(path) === folder) this.lasting.delete(path);
      for (const [path, inode] of this.names) if (dirname(path) === folder) this.lasting.set(path, inode);
    });
  }

  async lock(folder: string): Promise<Release> {
    return this.act(() => {
      if (this.locked.has(folder)) throw new FolderLocked(folder, 'here');
      this.locked.add(folder);
      return () => {
        this.locked.delete(folder);
        return Promise.resolve();
      };
    });
  }

  private inodeOf(path: string): Inode {
    const inode = this.names.get(path);
    if (inode === undefined) throw systemError('ENOENT');
    return inode;
  }

  /** One operation, in a turn of its own; none succeeds after the crash. */
  private async act<T>(action: () => T): Promise<T> {
    await Promise.resolve();
    if (this.dead) throw systemError('EIO');
    return action();
  }

  private handle(inode: Inode): DiskFile {
    return {
      size: () => this.act(() => inode.current.length),
      write: (data, position) =>
        this.act(() => {
          this.write(inode, data, position);
        }),
      truncate: (length) =>
        this.act(() => {
          inode.current = inode.current.slice(0, length);
        }),
      sync: () => this.sync(inode),
      close: () => Promise.resolve(),
    };
  }

  /** What was written before the call lasts afterwards; what came later need not. */
  private async sync(inode: Inode): Promise<void> {
    const { current } = inode;
    await this.syncDelay();
    await this.act(() => {
      if (this.syncError !== undefined) throw systemError(this.syncError);
      inode.synced = current;
    });
  }

  private write(inode: Inode, data: Uint8Array, position: number): void {
    const part = this.writeError === undefined ? data : data.subarray(0, data.length / 2);
    const grown = new Uint8Array(Math.max(inode.current.length, position + part.length));
    grown.set(inode.current);
    grown.set(part, position);
    inode.current = grown;
    if (this.writeError !== undefined) throw systemError(this.writeError);
  }
}
