/** The replicated log: elections, replication and membership changes. */
export { tuning } from './options.js';
export type { ReplicaAddress, ReplicatedLogOptions, Tuning } from './options.js';
export { ReplicatedLog } from './replicatedLog.js';
export type { StateMachine } from './stateMachine.js';
export type { ReplicaReport, ReplicaState, ReplicaStatus } from './status.js';
export { routesWithoutDisk } from './withoutDisk.js';
