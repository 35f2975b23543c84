export * from './cacheNews.js';
export * from './keptParts.js';
export * from './partKey.js';
export * from './unread.js';
