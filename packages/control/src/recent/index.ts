export * from './recentBoard.js';
