export * from './targetLedger.js';
