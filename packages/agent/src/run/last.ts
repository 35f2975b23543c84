/** Last events of runs, from faults. */
import type { Fault, Ran } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import { create } from '@bufbuild/protobuf';
import type { EventBody } from './buffer.js';

/** The message for what is known of a run. */
export const ranMessages: Readonly<Record<Ran, gateMessage.Ran>> = {
  'not-run': gateMessage.Ran.NOT_RUN,
  'may-have-run': gateMessage.Ran.MAY_HAVE_RUN,
  ran: gateMessage.Ran.RAN,
};

/** A refusal when it is proved that the target did not run it, a failure otherwise. */
export function lastEvent(fault: Fault, load: gateMessage.Load): EventBody {
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
