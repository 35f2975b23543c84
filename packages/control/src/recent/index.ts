export * from './gathering.js';
export * from './recentBoard.js';
