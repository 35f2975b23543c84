export * from './connect.js';
export * from './controls.js';
