export * from './connection.js';
export * from './fault.js';
export * from './faultProxy.js';
