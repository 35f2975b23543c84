/** A disk in memory that fails on demand and forgets on a crash what was not synced. For tests. */
import { dirname } from 'node:path';
import { FolderLocked } from './disk.js';
import type { Disk, DiskFile, Release } from './disk.js';

const NO_BYTES = new Uint8Array();

/** A change of a file's content. */
type Change = (content: Uint8Array) => Uint8Array;

/** What a loss of power makes of a change of a file: nothing, a part, or all of it. */
interface Write {
  readonly whole: Change;
  readonly torn: (part: number) => Change;
}

/** Content now and content that survives a crash. */
interface Inode {
  current: Uint8Array;
  synced: Uint8Array;
  /** Changes since the last sync, in their order. */
  unsynced: Write[];
}

/** A change of names in a folder that is not synced yet. */
interface Renaming {
  readonly folder: string;
  readonly apply: (names: Map<string, Inode>) => void;
}

/** A random number in [0, 1). */
export type Random = () => number;

/** A system error with a code. */
export function systemError(code: string): Error {
  return Object.assign(new Error(`${code}: made by the test`), { code });
}

const writing =
  (data: Uint8Array, position: number): Change =>
  (content) => {
    const grown = new Uint8Array(Math.max(content.length, position + data.length));
    grown.set(content);
    grown.set(data, position);
    return grown;
  };

const cutting =
  (length: number): Change =>
  (content) =>
    content.slice(0, length);

const unchanged: Change = (content) => content;

/** Share of crashes after which nothing is left that was not synced. */
const NOTHING_LEFT = 0.25;

/** What a crash leaves of a file: the synced content, and of each later change all, a beginning or nothing. */
function contentAfterCrash({ synced, unsynced }: Inode, random: Random): Uint8Array {
  const left = unsynced.map(({ whole, torn }) => {
    const fate = Math.floor(random() * 3);
    return [unchanged, whole, torn(random())][fate] ?? unchanged;
  });
  return left.reduce((content, change) => change(content), synced);
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
    private renamings: Renaming[] = [],
  ) {}

  /** An empty disk. */
  static empty(): MemoryDisk {
    return new MemoryDisk(new Map(), new Map());
  }

  /** Ends this disk; returns the one found after the restart, without all or some of what was not synced. */
  crash(random: Random): MemoryDisk {
    this.dead = true;
    const isNothingLeft = random() < NOTHING_LEFT;
    const lasting = new Map(this.lasting);
    const kept = this.renamings.filter(() => !isNothingLeft && random() < 0.5);
    for (const { apply } of kept) apply(lasting);
    const names = new Map<string, Inode>();
    for (const [path, inode] of lasting) {
      const content = isNothingLeft ? inode.synced : contentAfterCrash(inode, random);
      names.set(path, { current: content, synced: content, unsynced: [] });
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
      const known = this.names.get(path);
      if (known !== undefined) return this.handle(known);
      const inode: Inode = { current: NO_BYTES, synced: NO_BYTES, unsynced: [] };
      this.rearrange(path, (names) => names.set(path, inode));
      return this.handle(inode);
    });
  }

  async rename(from: string, to: string): Promise<void> {
    return this.act(() => {
      const inode = this.inodeOf(from);
      this.rearrange(to, (names) => {
        names.delete(from);
        names.set(to, inode);
      });
    });
  }

  async remove(path: string): Promise<void> {
    return this.act(() => {
      this.rearrange(path, (names) => names.delete(path));
    });
  }

  async syncFolder(folder: string): Promise<void> {
    return this.act(() => {
      for (const renaming of this.renamings) if (renaming.folder === folder) renaming.apply(this.lasting);
      this.renamings = this.renamings.filter((renaming) => renaming.folder !== folder);
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

  /** Changes names, lasting once the folder of `path` is synced. */
  private rearrange(path: string, apply: (names: Map<string, Inode>) => unknown): void {
    apply(this.names);
    this.renamings.push({ folder: dirname(path), apply });
  }

  private change(inode: Inode, write: Write): void {
    inode.current = write.whole(inode.current);
    inode.unsynced.push(write);
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
          this.change(inode, { whole: cutting(length), torn: () => unchanged });
        }),
      sync: () => this.sync(inode),
      close: () => Promise.resolve(),
    };
  }

  /** What was written before the call lasts afterwards; what came later need not. */
  private async sync(inode: Inode): Promise<void> {
    const { current } = inode;
    const covered = new Set(inode.unsynced);
    await this.syncDelay();
    await this.act(() => {
      if (this.syncError !== undefined) throw systemError(this.syncError);
      inode.synced = current;
      inode.unsynced = inode.unsynced.filter((write) => !covered.has(write));
    });
  }

  private write(inode: Inode, data: Uint8Array, position: number): void {
    const part = this.writeError === undefined ? data : data.subarray(0, data.length / 2);
    this.change(inode, {
      whole: writing(part, position),
      torn: (share) => writing(part.subarray(0, Math.floor(share * part.length)), position),
    });
    if (this.writeError !== undefined) throw systemError(this.writeError);
  }
}
