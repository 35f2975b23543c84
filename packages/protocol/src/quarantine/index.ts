export * from './evidenceTable.js';
export * from './fingerprint.js';
export * from './moments.js';
export * from './suspectParts.js';
export * from './verdict.js';
