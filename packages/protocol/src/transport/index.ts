/** Connections between the processes of the system. */
export * from './faultError.js';
export * from './peers.js';
export * from './server.js';
export * from './tls.js';
