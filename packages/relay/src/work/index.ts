export * from './attempt.js';
export * from './context.js';
export * from './requestHandler.js';
export * from './requestHead.js';
