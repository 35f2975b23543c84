/** The client side: a process's own view, and its place in the views of others. */
export * from './announcement.js';
export * from './directoryClient.js';
export * from './timing.js';
export * from './viewBuilder.js';
