export * from './replicaKeeper.js';
