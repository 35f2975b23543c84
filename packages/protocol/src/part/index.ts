export * from './cacheUpdate.js';
export * from './cachedParts.js';
export * from './partKey.js';
export * from './unreadable.js';
