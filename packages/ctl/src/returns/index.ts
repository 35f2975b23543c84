export * from './logLine.js';
export * from './returns.js';
