/** The closed list of fault kinds, and the table from kind to response. */

/** Whether a request ran: proven not to have run, unknown, or run. */
export type Ran = 'not-run' | 'may-have-run' | 'ran';

/** Response to a kind of fault. */
export interface FaultAnswer {
  /** HTTP status towards callers. */
  readonly status: number;
  /** Error type in the OpenAI-compatible error object. */
  readonly type: string;
  /** Whether the request ran, unless the fault says otherwise. */
  readonly ran: Ran;
  /** Whether the request may be retried if it did not run or is idempotent. */
  readonly retryable: boolean;
  /** Delay before a retry by the caller, in milliseconds, unless the fault sets one. */
  readonly retryAfterMs?: number;
}

const client = (status: number, type = 'invalid_request_error'): FaultAnswer => ({
  status,
  type,
  ran: 'not-run',
  retryable: false,
});

const refusal = (status: number, type: string, retryAfterMs: number, retryable = false): FaultAnswer => ({
  status,
  type,
  ran: 'not-run',
  retryable,
  retryAfterMs,
});

const failure = (status: number, ran: Ran, retryable: boolean): FaultAnswer => ({
  status,
  type: 'server_error',
  ran,
  retryable,
});

/** Responses by fault kind. */
export const faultAnswers = {
  // The request itself.
  'invalid-request': client(400),
  'unsupported-media-type': client(415),
  'body-too-large': client(413),
  'method-not-allowed': client(405),
  unauthenticated: client(401, 'authentication_error'),
  forbidden: client(403, 'permission_error'),
  'unknown-model': client(404, 'not_found_error'),
  'unknown-route': client(404, 'not_found_error'),
  // Execution at most once.
  'key-reused': client(422, 'idempotency_error'),
  'already-running': {
    status: 409,
    type: 'idempotency_error',
    ran: 'may-have-run',
    retryable: false,
    retryAfterMs: 1_000,
  },
  'outcome-unknown': { status: 409, type: 'idempotency_error', ran: 'may-have-run', retryable: false },
  'answer-not-kept': { status: 409, type: 'idempotency_error', ran: 'ran', retryable: false },
  'claims-unavailable': refusal(503, 'overloaded_error', 2_000),
  // Limits and load.
  'rate-limited': refusal(429, 'rate_limit_error', 1_000),
  'concurrency-limited': refusal(429, 'rate_limit_error', 1_000),
  overloaded: refusal(503, 'overloaded_error', 1_000, true),
  'deadline-unmeetable': refusal(503, 'overloaded_error', 1_000, true),
  // Targets.
  'not-configured': refusal(503, 'server_error', 500),
  'no-target': refusal(503, 'overloaded_error', 1_000),
  'target-leaving': refusal(503, 'overloaded_error', 500, true),
  'wrong-incarnation': refusal(503, 'overloaded_error', 500, true),
  'stream-not-resumable': refusal(503, 'server_error', 500),
  // An operator has to release it, which takes a while.
  'request-quarantined': refusal(503, 'server_error', 60_000),
  'model-not-loaded': refusal(503, 'overloaded_error', 1_000, true),
  'target-unreachable': refusal(503, 'overloaded_error', 500, true),
  cancelled: refusal(499, 'server_error', 0),
  stopping: refusal(503, 'overloaded_error', 500, true),
  'deadline-exceeded': failure(504, 'may-have-run', false),
  'target-lost': failure(502, 'may-have-run', true),
  'stream-broken': failure(502, 'may-have-run', true),
  'answer-mismatch': failure(502, 'may-have-run', true),
  'engine-failed': failure(502, 'may-have-run', true),
  internal: failure(500, 'may-have-run', false),
  // Documents and control.
  'invalid-document': client(422),
  'version-conflict': client(409, 'conflict_error'),
  'not-owner': client(403, 'permission_error'),
  'unknown-document': client(404, 'not_found_error'),
  'not-leader': refusal(503, 'overloaded_error', 500, true),
  'no-quorum': refusal(503, 'overloaded_error', 2_000, true),
  'storage-failed': refusal(503, 'server_error', 5_000),
} as const satisfies Record<string, FaultAnswer>;

/** Name of a fault kind: stable, part of the interface to callers. */
export type FaultKind = keyof typeof faultAnswers;

/** An error that crosses a module boundary. */
export interface Fault {
  readonly kind: FaultKind;
  readonly message: string;
  readonly ran: Ran;
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Details that override the defaults of a kind. */
export interface FaultDetail {
  readonly ran?: Ran;
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Creates a fault, with the kind's defaults for whatever `detail` leaves out. */
export function fault(kind: FaultKind, message: string, detail: FaultDetail = {}): Fault {
  const answer: FaultAnswer = faultAnswers[kind];
  return {
    kind,
    message,
    ran: detail.ran ?? answer.ran,
    retryAfterMs: detail.retryAfterMs ?? answer.retryAfterMs,
    cause: detail.cause,
  };
}

/** Whether a string, for example from a message, is a fault kind. */
export function isFaultKind(value: string): value is FaultKind {
  return Object.hasOwn(faultAnswers, value);
}

/** The response to a kind of fault. */
export function answerOf(kind: FaultKind): FaultAnswer {
  return faultAnswers[kind];
}
