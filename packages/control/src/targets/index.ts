export * from './targetBook.js';
