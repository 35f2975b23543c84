export * from './evidenceTable.js';
export * from './fingerprint.js';
