/** Errors and faults of broken answers. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';

/** Carries a fault out of a body: async iteration can only throw. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message, { cause: fault.cause });
  }
}

/** The fault that an error carries, or the result of `otherwise`. */
export function faultOf(error: unknown, otherwise: (cause: unknown) => Fault): Fault {
  return error instanceof FaultError ? error.fault : otherwise(error);
}

/** Fault for an answer that broke in the middle. */
export function brokenStreamFault(error: unknown): Fault {
  return faultOf(error, (cause) => {
    const message = cause instanceof Error ? cause.message : String(cause);
    return fault('stream-broken', `the target's answer broke: ${message}`, { cause });
  });
}
