/** Faults of calls between processes: the kind, and whether the request ran, are sent as headers of the error. */
import { Code, ConnectError } from '@connectrpc/connect';
import { fault, isFaultKind } from '@jasmineroute/core';
import type { Fault, FaultKind, Ran } from '@jasmineroute/core';

const KIND_HEADER = 'x-fault-kind';
const RAN_HEADER = 'x-fault-ran';
const RETRY_AFTER_HEADER = 'x-fault-retry-after-ms';

const codes: Partial<Record<FaultKind, Code>> = {
  'invalid-request': Code.InvalidArgument,
  unauthenticated: Code.Unauthenticated,
  forbidden: Code.PermissionDenied,
  'deadline-exceeded': Code.DeadlineExceeded,
  internal: Code.Internal,
};

const ranValues: readonly string[] = ['not-run', 'may-have-run', 'ran'] satisfies Ran[];

/** The error that a service throws for a fault; the caller gets the fault back with `faultOf`. */
export function errorOf(problem: Fault): ConnectError {
  const headers: Record<string, string> = { [KIND_HEADER]: problem.kind, [RAN_HEADER]: problem.ran };
  if (problem.retryAfterMs !== undefined) headers[RETRY_AFTER_HEADER] = String(problem.retryAfterMs);
  return new ConnectError(problem.message, codes[problem.kind] ?? Code.Unavailable, headers);
}

/** System errors that occur before a connection is established, so nothing was sent. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL']);

function systemCode(error: unknown): string | undefined {
  for (let cause = error, depth = 0; cause instanceof Error && depth < 5; cause = cause.cause, depth += 1) {
    const code = (cause as NodeJS.ErrnoException).code;
    if (typeof code === 'string') return code;
  }
  return undefined;
}

function remoteFault(error: ConnectError): Fault | undefined {
  const kind = error.metadata.get(KIND_HEADER);
  if (kind === null || !isFaultKind(kind)) return undefined;
  const ran = error.metadata.get(RAN_HEADER) ?? '';
  const retryAfter = Number(error.metadata.get(RETRY_AFTER_HEADER) ?? Number.NaN);
  return fault(kind, error.rawMessage, {
    ran: ranValues.includes(ran) ? (ran as Ran) : 'may-have-run',
    retryAfterMs: Number.isFinite(retryAfter) ? retryAfter : undefined,
  });
}

/**
 * The fault of a failed call: the one that the service threw, otherwise one by whether anything was sent. Only errors
 * from before a connection was established prove that the call did not run. After any other error, such as a timeout
 * or a broken connection, the call may have run: the message may still arrive.
 */
export function faultOf(error: unknown): Fault {
  const problem = ConnectError.from(error);
  const remote = remoteFault(problem);
  if (remote !== undefined) return remote;
  const code = systemCode(problem);
  const isUnsent = code !== undefined && connectErrors.has(code);
  if (isUnsent) return fault('target-unreachable', problem.message, { ran: 'not-run', cause: error });
  const kind = problem.code === Code.DeadlineExceeded ? 'deadline-exceeded' : 'target-lost';
  return fault(kind, problem.message, { ran: 'may-have-run', cause: error });
}
