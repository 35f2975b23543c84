/** Durable storage: the disk port, its adapters, and a replica's files. */
export * from './boundedDisk.js';
export * from './delayedDisk.js';
export * from './disk.js';
export * from './fileDisk.js';
export * from './folderBudget.js';
export { decodeFrames, encodeFrame } from './frame.js';
export * from './logStorage.js';
export * from './memoryDisk.js';
export { CORRUPT } from './storageFault.js';
export type { StorageFault, StorageOperation } from './storageFault.js';
export type { Snapshot } from './snapshotFile.js';
