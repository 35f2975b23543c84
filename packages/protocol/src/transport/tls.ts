/** Mutual TLS between the system's own processes. */
import { readFile } from 'node:fs/promises';
import { watchFile, unwatchFile } from 'node:fs';

/** Files of a process's identity, PEM. */
export interface TlsFiles {
  readonly certificate: string;
  readonly key: string;
  /** Certificate authority that both sides must be signed by. */
  readonly authority: string;
}

/** Contents of the files. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/** How often the files are looked at for a change. */
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
 * Key material that follows its files. A half-written pair is left alone until the files fit together again:
 * `check` throws on one that does not, and the last good material stays in use.
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
