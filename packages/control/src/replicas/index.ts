export * from './replicaReconciler.js';
