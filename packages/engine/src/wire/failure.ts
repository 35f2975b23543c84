/** An error that carries a fault, for bodies that break. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';

/** Thrown by bodies: async iteration can only throw. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message, { cause: fault.cause });
  }
}

/** The fault inside an error, or the given kind around it. */
export function faultOf(error: unknown, otherwise: (cause: unknown) => Fault): Fault {
  return error instanceof FaultError ? error.fault : otherwise(error);
}

/** A fault for a break in the middle of an answer. */
export function broken(error: unknown): Fault {
  return faultOf(error, (cause) => {
    const message = cause instanceof Error ? cause.message : String(cause);
    return fault('stream-broken', `the target's answer broke: ${message}`, { cause });
  });
}
