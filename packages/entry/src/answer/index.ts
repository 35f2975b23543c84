export * from './answer.js';
export * from './eventFramer.js';
export * from './continuation.js';
export * from './boundedBuffer.js';
export * from './progress.js';
export * from './eventRewriter.js';
