/** An in-memory disk that fails on demand and may lose unsynced data in a crash. For tests. */
import { dirname } from 'node:path';
import { FolderLocked } from './disk.js';
import type { Disk, DiskFile, ReleaseLock } from './disk.js';

const NO_BYTES = new Uint8Array();

/** A change of a file's content. */
type Change = (content: Uint8Array) => Uint8Array;

/** A change of a file, of which a power failure may keep all, a part or nothing. */
interface Write {
  readonly whole: Change;
  readonly torn: (part: number) => Change;
}

/** Current content, and the content that is certain to survive a crash. */
interface Inode {
  current: Uint8Array;
  synced: Uint8Array;
  /** Changes since the last sync, in order. */
  unsynced: Write[];
}

/** An unsynced change of the names in a folder. */
interface NameChange {
  readonly folder: string;
  readonly apply: (names: Map<string, Inode>) => void;
}

/** A random number in [0, 1). */
export type Random = () => number;

/** A system error with a code, of a system call. */
export function systemError(code: string, syscall?: string): Error {
  return Object.assign(new Error(`${code}: made by the test`), { code, syscall });
}

async function waitFor({ end }: Hang): Promise<void> {
  const code = await end;
  if (code !== undefined) throw systemError(code);
}

const writeAt =
  (data: Uint8Array, position: number): Change =>
  (content) => {
    const grown = new Uint8Array(Math.max(content.length, position + data.length));
    grown.set(content);
    grown.set(data, position);
    return grown;
  };

const truncateTo =
  (length: number): Change =>
  (content) =>
    content.slice(0, length);

/** Unit in which a file takes space. */
const BLOCK_BYTES = 4_096;

/** Bytes of the blocks that hold a content of `length` bytes. */
const blocksOf = (length: number): number => Math.ceil(length / BLOCK_BYTES) * BLOCK_BYTES;

const unchanged: Change = (content) => content;

/** Fraction of crashes that lose all unsynced changes. */
const TOTAL_LOSS_SHARE = 0.25;

/** File content after a crash: the synced content, and of each later change all, a part or nothing. */
function contentAfterCrash({ synced, unsynced }: Inode, random: Random): Uint8Array {
  const applied = unsynced.map(({ whole, torn }) => {
    const outcome = Math.floor(random() * 3);
    return [unchanged, whole, torn(random())][outcome] ?? unchanged;
  });
  return applied.reduce((content, change) => change(content), synced);
}

/** When the operations of a disk that hangs take effect: before they wait, or after that. */
export type HangEffect = 'before' | 'after';

/** A disk that hangs; `end` resolves with the error code of what waited, or with none. */
interface Hang {
  readonly effect: HangEffect;
  readonly end: Promise<string | undefined>;
}

/** Calls of the disk that can be made to fail, beside writes and syncs of files. */
export type FailingCall = 'open' | 'rename' | 'remove' | 'truncate' | 'syncFolder';

/** The disk of a machine between two crashes. */
export class MemoryDisk implements Disk {
  /** System error code for writes; they leave half of their data, as on a full disk. */
  writeError: string | undefined;
  /** System error code for syncs. A failed sync drops the changes that it covers, which can still be read until a crash. */
  syncError: string | undefined;
  /** System error codes for other calls. */
  readonly callErrors: Partial<Record<FailingCall, string | undefined>> = {};
  /** Whether files can only be opened that exist. */
  refusesNewFiles = false;
  /** Bytes that all files may take together. */
  capacityBytes = Number.POSITIVE_INFINITY;
  /** Delay of each sync. */
  syncDelay: () => Promise<void> = () => Promise.resolve();
  private isCrashed = false;
  private hanging: Hang | undefined;
  private readonly locked = new Set<string>();

  private constructor(
    private readonly names: Map<string, Inode>,
    private readonly durableNames: Map<string, Inode>,
    private nameChanges: NameChange[] = [],
  ) {}

  /** An empty disk. */
  static empty(): MemoryDisk {
    return new MemoryDisk(new Map(), new Map());
  }

  /** Ends this disk. Returns the disk after the restart, without some or all of the unsynced changes. */
  crash(random: Random): MemoryDisk {
    this.isCrashed = true;
    const isTotalLoss = random() < TOTAL_LOSS_SHARE;
    const survivingNames = new Map(this.durableNames);
    const kept = this.nameChanges.filter(() => !isTotalLoss && random() < 0.5);
    for (const { apply } of kept) apply(survivingNames);
    const names = new Map<string, Inode>();
    for (const [path, inode] of survivingNames) {
      const content = isTotalLoss ? inode.synced : contentAfterCrash(inode, random);
      names.set(path, { current: content, synced: content, unsynced: [] });
    }
    const after = new MemoryDisk(names, new Map(names));
    after.capacityBytes = this.capacityBytes;
    return after;
  }

  /** Makes all operations wait. Returns the function that ends it; a code fails what has waited. */
  hang(effect: HangEffect = 'after'): (code?: string) => void {
    let release: (code?: string) => void = () => undefined;
    const end = new Promise<string | undefined>((resolve) => {
      release = resolve;
    });
    const hanging = { effect, end };
    this.hanging = hanging;
    return (code) => {
      if (this.hanging === hanging) this.hanging = undefined;
      release(code);
    };
  }

  /** Bytes that all files take: whole blocks, as on a file system. */
  usedBytes(): number {
    const inodes = new Set(this.names.values());
    return [...inodes].reduce((sum, { current }) => sum + blocksOf(current.length), 0);
  }

  /** Flips a bit of one byte of a file, as a failing disk does. */
  corruptByte(path: string, offset: number): void {
    const inode = this.inodeOf(path);
    inode.current = inode.current.slice();
    inode.current[offset] = (inode.current[offset] ?? 0) ^ 0x10;
  }

  /** Ends the process that uses this disk, without a loss of power. Returns the disk for the next process. */
  endProcess(): MemoryDisk {
    this.isCrashed = true;
    const after = new MemoryDisk(this.names, this.durableNames, this.nameChanges);
    after.capacityBytes = this.capacityBytes;
    return after;
  }

  async ensureFolder(): Promise<void> {
    return this.perform(() => undefined);
  }

  async list(folder: string): Promise<string[]> {
    return this.perform(() => {
      const inside = [...this.names.keys()].filter((path) => dirname(path) === folder);
      return inside.map((path) => path.slice(folder.length + 1));
    });
  }

  async read(path: string): Promise<Uint8Array> {
    return this.perform(() => this.inodeOf(path).current.slice());
  }

  async open(path: string): Promise<DiskFile> {
    return this.performCall('open', () => {
      const known = this.names.get(path);
      if (known !== undefined) return this.handle(known);
      if (this.refusesNewFiles) throw systemError('ENOSPC', 'open');
      const inode: Inode = { current: NO_BYTES, synced: NO_BYTES, unsynced: [] };
      this.changeNames(path, (names) => names.set(path, inode));
      return this.handle(inode);
    });
  }

  async rename(from: string, to: string): Promise<void> {
    return this.performCall('rename', () => {
      const inode = this.inodeOf(from);
      this.changeNames(to, (names) => {
        names.delete(from);
        names.set(to, inode);
      });
    });
  }

  async remove(path: string): Promise<void> {
    return this.performCall('remove', () => {
      this.changeNames(path, (names) => names.delete(path));
    });
  }

  async syncFolder(folder: string): Promise<void> {
    return this.performCall('syncFolder', () => {
      for (const change of this.nameChanges) if (change.folder === folder) change.apply(this.durableNames);
      this.nameChanges = this.nameChanges.filter((change) => change.folder !== folder);
    });
  }

  async freeBytes(): Promise<number> {
    return this.perform(() => Math.max(0, this.capacityBytes - this.usedBytes()));
  }

  async lock(folder: string): Promise<ReleaseLock> {
    return this.perform(() => {
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

  /** Changes names; durable once the folder of `path` is synced. */
  private changeNames(path: string, apply: (names: Map<string, Inode>) => unknown): void {
    apply(this.names);
    this.nameChanges.push({ folder: dirname(path), apply });
  }

  private change(inode: Inode, write: Write): void {
    inode.current = write.whole(inode.current);
    inode.unsynced.push(write);
  }

  /** Runs an operation asynchronously; after the crash all of them fail. */
  private async perform<T>(action: () => T): Promise<T> {
    await Promise.resolve();
    const { hanging } = this;
    if (hanging === undefined) return this.complete(action);
    if (hanging.effect === 'after') await waitFor(hanging);
    const result = this.complete(action);
    if (hanging.effect === 'before') await waitFor(hanging);
    return result;
  }

  private complete<T>(action: () => T): T {
    if (this.isCrashed) throw systemError('EIO');
    return action();
  }

  private performCall<T>(call: FailingCall, action: () => T): Promise<T> {
    return this.perform(() => {
      const code = this.callErrors[call];
      if (code !== undefined) throw systemError(code, call);
      return action();
    });
  }

  private handle(inode: Inode): DiskFile {
    return {
      size: () => this.perform(() => inode.current.length),
      write: (data, position) =>
        this.perform(() => {
          this.write(inode, data, position);
        }),
      truncate: (length) =>
        this.performCall('truncate', () => {
          this.change(inode, { whole: truncateTo(length), torn: () => unchanged });
        }),
      sync: () => this.sync(inode),
      close: () => this.perform(() => undefined),
    };
  }

  /** Makes durable what was written before the call; later writes need not be. */
  private async sync(inode: Inode): Promise<void> {
    const covered = new Set(inode.unsynced);
    await this.syncDelay();
    await this.perform(() => {
      const written = inode.unsynced.filter((write) => covered.has(write));
      inode.unsynced = inode.unsynced.filter((write) => !covered.has(write));
      if (this.syncError !== undefined) throw systemError(this.syncError, 'fdatasync');
      inode.synced = written.reduce((content, { whole }) => whole(content), inode.synced);
    });
  }

  private write(inode: Inode, data: Uint8Array, position: number): void {
    const room = this.roomFor(inode, position);
    const isFull = data.length > room;
    const whole = isFull ? data.subarray(0, room) : data;
    const part = this.writeError === undefined ? whole : whole.subarray(0, data.length / 2);
    this.change(inode, {
      whole: writeAt(part, position),
      torn: (share) => writeAt(part.subarray(0, Math.floor(share * part.length)), position),
    });
    if (this.writeError !== undefined) throw systemError(this.writeError, 'write');
    if (isFull) throw systemError('ENOSPC', 'write');
  }

  /** Bytes that can be written to a file from `position` on. */
  private roomFor(inode: Inode, position: number): number {
    const others = this.usedBytes() - blocksOf(inode.current.length);
    const blocks = Math.floor((this.capacityBytes - others) / BLOCK_BYTES);
    return Math.max(0, blocks * BLOCK_BYTES - position);
  }
}
