/** Why a run is stopped from outside. */
import type { Fault } from '@jasmineroute/core';

/** Reason of a run's signal. */
export class StopError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}

/** The reason that a run was stopped for, or else what went wrong by itself; `ran` is the latter's. */
export function reasonOf(signal: AbortSignal, otherwise: Fault): Fault {
  const { reason } = signal as { reason: unknown };
  return reason instanceof StopError ? { ...reason.fault, ran: otherwise.ran } : otherwise;
}
