/** Addresses as texts. */
export * from './address.js';
