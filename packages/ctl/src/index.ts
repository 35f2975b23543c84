/** The command-line tool as a library. */
export { runCommandLine } from './command/index.js';
export type { Surroundings } from './command/context.js';
export * from './exit/index.js';
export * from './setting/index.js';
export * from './terminal/index.js';
