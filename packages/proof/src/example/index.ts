export * from './page.js';
export * from './command.js';
export * from './help.js';
