/** jasminerouted, as parts: its settings, its roles, its life. */
export * from './command.js';
export * from './events.js';
export * from './life/index.js';
export * from './role/index.js';
export * from './setting/index.js';
