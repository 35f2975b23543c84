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
  ETIMEDOUT: 'the disk does not answer',
  FOLDER_LOCKED: 'the folder is in use',
};

/** Operations of a replica's storage, with their names in messages. */
const operations = {
  open: 'open the folder',
  vote: 'save the vote',
  write: 'write the journal',
  truncate: 'truncate the journal',
  sync: 'sync the journal',
  snapshot: 'write a snapshot',
  install: 'install a snapshot',
  clear: 'clear the journal',
  recover: 'recover',
} as const;

/** An operation of a replica's storage. */
export type StorageOperation = keyof typeof operations;

/** A fault of kind storage-failed. */
export interface StorageFault extends Fault {
  readonly operation: StorageOperation;
  /** System call that failed; empty when unknown. */
  readonly call: string;
  /** System error code, such as ENOSPC; empty when unknown. */
  readonly code: string;
  /** Whether the content of the disk is unknown, so that the storage refuses all later operations. */
  readonly isFinal: boolean;
}

/** Error code of a file whose content is not what was written. */
export const CORRUPT = 'CORRUPT';

/** A file whose content is not what was written. */
export class CorruptFile extends Error {
  readonly code = CORRUPT;

  constructor(path: string, detail: string) {
    super(
      `${path}: ${detail}. The file has changed since it was synced; nothing was repaired. ` +
        'Move the folder away and start with an empty one: the replica then receives its state from the others.',
    );
    this.name = 'CorruptFile';
  }
}

/** A call to the disk, or one before it, neither failed nor returned in time. */
export class DiskHangs extends Error {
  readonly code = 'ETIMEDOUT';

  constructor(readonly syscall: string) {
    super(`${syscall} is not answered in time`);
    this.name = 'DiskHangs';
  }
}

/** A fault with the failed operation, the folder and the reason. */
export function storageFault(operation: StorageOperation, folder: string, error: unknown): StorageFault {
  const { code = '', syscall: call = '' } = error as NodeJS.ErrnoException;
  const text = error instanceof Error ? error.message : String(error);
  const explanation = explanations[code];
  const reason = explanation === undefined ? text : `${explanation} (${text})`;
  const message = `${operations[operation]} in ${folder}: ${reason}`;
  return { ...fault('storage-failed', message, { cause: error }), operation, call, code, isFinal: false };
}

/** Runs a disk operation; a thrown error becomes a storage fault. */
export function attempt<T>(
  operation: StorageOperation,
  folder: string,
  action: () => Promise<T>,
): ResultAsync<T, StorageFault> {
  return ResultAsync.fromThrowable(action, (error) => storageFault(operation, folder, error))();
}
