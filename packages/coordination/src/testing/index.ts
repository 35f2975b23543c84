/** Support for this package's tests. */
export * from './memoryCluster.js';
export * from './memoryNetwork.js';
export * from './processClock.js';
export * from './stubReplica.js';
