export * from './journalFile.js';
export * from './lines.js';
