export * from './managedProcess.js';
