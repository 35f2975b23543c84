export * from './cluster.js';
export * from './ctl.js';
export * from './member.js';
export * from './options.js';
export * from './paths.js';
