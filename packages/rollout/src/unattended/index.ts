export * from './unattendedTargets.js';
