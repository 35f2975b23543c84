export * from './candidates.js';
export * from './call.js';
export * from './header.js';
export * from './resolve.js';
export * from './tables.js';
export * from './servedModel.js';
