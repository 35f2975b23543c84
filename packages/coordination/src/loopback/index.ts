/** Loopback server and connections. */
export * from './loopback.js';
