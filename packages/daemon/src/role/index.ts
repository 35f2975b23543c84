export * from './role.js';
