/** The port to targets and its adapters. */
export * from './port/index.js';
