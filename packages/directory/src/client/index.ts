/** Client side: maintains a process's view and announces the process. */
export * from './announcement.js';
export * from './directoryClient.js';
export * from './timing.js';
export * from './viewBuilder.js';
