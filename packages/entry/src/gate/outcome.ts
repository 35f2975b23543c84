/** Outcomes of attempts, and conversion of the faults that gates report. */
import { fault, isFaultKind } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';
import { runState } from './client.js';

/** Outcome of an attempt. */
export type AttemptOutcome =
  | { readonly type: 'ended'; readonly end: gateMessage.End }
  | { readonly type: 'refused'; readonly fault: Fault; readonly load?: gateMessage.Load }
  | { readonly type: 'failed'; readonly fault: Fault }
  | { readonly type: 'stopped' };

/** Reading a stream stopped before its last event. */
export interface StreamBreak {
  readonly type: 'break';
  readonly reason: 'lost' | 'silent' | 'gap' | 'crossed';
  readonly error?: unknown;
}

/** Whether a result is a break rather than an outcome. */
export function isBreak(result: AttemptOutcome | StreamBreak): result is StreamBreak {
  return result.type === 'break';
}

/** The fault of a refusal, which proves that the gate sent nothing to the target. */
export function refusalFault(refusal: gateMessage.Refusal): Fault {
  const kind = isFaultKind(refusal.kind) ? refusal.kind : 'overloaded';
  const retryAfterMs = refusal.retryAfterMs > 0 ? refusal.retryAfterMs : undefined;
  return fault(kind, refusal.message, { ran: 'not-run', retryAfterMs });
}

/** The fault of a failure, with the run state that the gate reports. */
export function failureFault(failure: gateMessage.Failure): Fault {
  const kind = isFaultKind(failure.kind) ? failure.kind : 'engine-failed';
  return fault(kind, failure.message, { ran: runState(failure.ran) });
}
