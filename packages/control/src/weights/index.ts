export * from './remoteWeights.js';
