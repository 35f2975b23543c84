export * from './evidenceFormat.js';
export * from './evidenceStore.js';
