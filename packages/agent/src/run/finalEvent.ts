/** Conversion of faults to the final events of runs. */
import type { Fault, Ran } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import { create } from '@bufbuild/protobuf';
import type { EventBody } from './eventBuffer.js';

/** Message values that say whether a request has run. */
export const ranMessages: Readonly<Record<Ran, gateMessage.Ran>> = {
  'not-run': gateMessage.Ran.NOT_RUN,
  'may-have-run': gateMessage.Ran.MAY_HAVE_RUN,
  ran: gateMessage.Ran.RAN,
};

/** A refusal when it is certain that the target did not run the request, a failure otherwise. */
export function finalEvent(fault: Fault, load: gateMessage.Load): EventBody {
  const { kind, message, ran, retryAfterMs = 0 } = fault;
  if (ran === 'not-run') {
    const refusal = { kind, message, retryAfterMs: Math.ceil(retryAfterMs), load };
    return { case: 'refusal', value: create(gateMessage.RefusalSchema, refusal) };
  }
  return {
    case: 'failure',
    value: create(gateMessage.FailureSchema, { kind, message, ran: ranMessages[ran] }),
  };
}
