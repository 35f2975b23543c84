export * from './evidenceTable.js';
export * from './fingerprint.js';
export * from './verdict.js';
