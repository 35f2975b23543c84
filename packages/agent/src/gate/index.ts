/** The gate: the service through which entries use the target. */
export * from './gate.js';
export * from './gateTarget.js';
