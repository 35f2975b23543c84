export * from './originFiles.js';
export * from './originStore.js';
