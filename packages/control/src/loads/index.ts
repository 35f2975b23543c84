export * from './loadBoard.js';
