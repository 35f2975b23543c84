/** Mutual TLS between the processes of the system. */
import { readFile } from 'node:fs/promises';
import { watchFile, unwatchFile } from 'node:fs';

/** PEM files of a process's certificate, key and authority. */
export interface TlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Authority that must have signed the certificates of both sides. */
  readonly authority: string;
}

/** Contents of the files. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** Interval between checks of the files for changes. */
const RELOAD_INTERVAL_MS = 1_000;

/** Reads the files. */
export async function readTls(files: TlsFiles): Promise<TlsMaterial> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certificate),
    readFile(files.key),
    readFile(files.authority),
  ]);
  return { cert, key, ca };
}

/**
 * Key material that is reloaded when its files change. While the files do not match, for example because only one of them
 * has been replaced, `check` throws and the last valid material stays in use.
 */
export class TlsStore {
  private listeners = new Set<(material: TlsMaterial) => void>();

  private constructor(
    private readonly files: TlsFiles,
    private material: TlsMaterial,
    private readonly check: (material: TlsMaterial) => void,
  ) {}

  static async open(files: TlsFiles, check: (material: TlsMaterial) => void): Promise<TlsStore> {
    const material = await readTls(files);
    check(material);
    const store = new TlsStore(files, material, check);
    for (const path of store.paths()) {
      watchFile(path, { interval: RELOAD_INTERVAL_MS, persistent: false }, () => {
        void store.reload();
      });
    }
    return store;
  }

  current(): TlsMaterial {
    return this.material;
  }

  onReload(listener: (material: TlsMaterial) => void): void {
    this.listeners.add(listener);
  }

  close(): void {
    for (const path of this.paths()) unwatchFile(path);
  }

  private paths(): string[] {
    return [this.files.certificate, this.files.key, this.files.authority];
  }

  private async reload(): Promise<void> {
    try {
      const material = await readTls(this.files);
      this.check(material);
      this.material = material;
    } catch {
      return;
    }
    for (const listener of this.listeners) listener(this.material);
  }
}
