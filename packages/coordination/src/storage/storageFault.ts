/** Turns system errors into faults that an operator can act on. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { ResultAsync } from 'neverthrow';

/** Explanations of system error codes for operators. */
const explanations: Readonly<Record<string, string>> = {
  ENOSPC: 'the disk is full',
  EDQUOT: 'the disk quota is used up',
  EROFS: 'the file system is read-only',
  EACCES: 'no permission',
  EPERM: 'no permission',
  ENOENT: 'the folder is missing, or its parent is',
  ENOTDIR: 'part of the path is not a folder',
  EIO: 'the disk failed',
  FOLDER_LOCKED: 'the folder is in use',
};

/** A file whose content is not what was written. */
export class CorruptFile extends Error {
  readonly code = 'CORRUPT';

  constructor(path: string, detail: string) {
    super(
      `${path}: ${detail}. The file has changed since it was synced; nothing was repaired. ` +
        'Move the folder away and start with an empty one: the replica then receives its state from the others.',
    );
    this.name = 'CorruptFile';
  }
}

/** A fault of kind storage-failed with the failed operation and the reason. */
export function storageFault(operation: string, error: unknown): Fault {
  const code = (error as NodeJS.ErrnoException).code ?? '';
  const text = error instanceof Error ? error.message : String(error);
  const explanation = explanations[code];
  const reason = explanation === undefined ? text : `${explanation} (${text})`;
  return fault('storage-failed', `${operation}: ${reason}`, { cause: error });
}

/** Runs a disk operation; a thrown error becomes a storage fault. */
export function attempt<T>(doing: string, action: () => Promise<T>): ResultAsync<T, Fault> {
  return ResultAsync.fromThrowable(action, (error) => storageFault(doing, error))();
}
