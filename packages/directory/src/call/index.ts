/** Calls to control instances. */
export * from './controlAddresses.js';
export * from './controlClient.js';
export * from './callLimit.js';
export * from './claimClient.js';
export * from './turnClient.js';
