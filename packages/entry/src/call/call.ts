/** A caller's request, before and after it is checked against the current documents. */
import type { HeaderField, Prompt } from '@jasmineroute/engine';
import type { Model, RoutedService } from '@jasmineroute/document';

/** A received request, before it is checked against the documents. */
export interface CallerRequest {
  /** Sent by the caller or generated; echoed in the answer. */
  readonly requestId: string;
  readonly method: string;
  /** Path with query, as received. */
  readonly path: string;
  readonly host: string | undefined;
  readonly headers: readonly HeaderField[];
  /** Bearer key in plain text. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  /** Remaining milliseconds until the caller's deadline. */
  readonly deadlineMs: number | undefined;
}

/** The model that a call asks for, and the prompt. */
export interface RequestedModel {
  readonly prompt: Prompt;
  readonly weights: Model;
  /** "name@version", or empty. */
  readonly adapter: string;
}

/** A checked request that may be sent to a target of its service. */
export interface Call {
  readonly requestId: string;
  readonly service: RoutedService;
  /** Empty where the service requires no customer. */
  readonly customer: string;
  /** Higher values run first. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  /** Header fields forwarded to the target. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** Identifies retries of the same request: the idempotency key, or else the request id. */
  readonly claimKey: string;
  /**
   * Whether the call continues after its caller disconnects. Set for non-idempotent calls that have an idempotency key
   * or go to a plain service. They must not run again, and either a retry will ask for the answer or the effect can't
   * be undone, so their outcome must become known.
   */
  readonly persistent: boolean;
  /** Model services only. */
  readonly model?: RequestedModel;
}
