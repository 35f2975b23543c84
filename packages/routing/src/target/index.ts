export * from './prefillTurns.js';
