export * from './firstToken.js';
