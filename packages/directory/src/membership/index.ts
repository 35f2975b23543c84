/** Control instances: who is there, and in what state. */
export type { ControlPeer } from './exchangeTask.js';
export * from './membership.js';
export * from './probe.js';
