export * from './folderLimit.js';
export * from './folderMonitor.js';
