/** The reason for which a run was stopped. */
import type { Fault } from '@jasmineroute/core';

/** Abort reason of the signal of a run. */
export class StopError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}

/** The fault with which a run was stopped, otherwise `failure`; `ran` is always that of `failure`. */
export function stopReasonOr(signal: AbortSignal, failure: Fault): Fault {
  const { reason } = signal as { reason: unknown };
  return reason instanceof StopError ? { ...reason.fault, ran: failure.ran } : failure;
}
