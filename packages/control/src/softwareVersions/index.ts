export * from './softwareVersions.js';
