export * from './folderMonitor.js';
