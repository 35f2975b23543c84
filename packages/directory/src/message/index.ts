/** Converts between messages and the types of the view. */
export * from './document.js';
export * from './instance.js';
export * from './instanceDigest.js';
export * from './textEdit.js';
