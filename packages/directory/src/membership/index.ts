/** Membership of instances, as tracked by control instances. */
export type { ControlPeer } from './exchangeTask.js';
export * from './membership.js';
export * from './probe.js';
