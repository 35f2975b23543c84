export * from './cacheNews.js';
export * from './keptParts.js';
export * from './partKey.js';
