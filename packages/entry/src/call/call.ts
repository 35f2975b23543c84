/** A caller's request, checked against the documents in force. */
import type { HeaderField, Prompt } from '@jasmineroute/engine';
import type { Model, RoutedService } from '@jasmineroute/document';

/** A request as it came, before documents were looked at. */
export interface CallerRequest {
  /** Taken from the caller or made; echoed on the answer. */
  readonly requestId: string;
  readonly method: string;
  /** Path with query, as sent. */
  readonly path: string;
  readonly host: string | undefined;
  readonly headers: readonly HeaderField[];
  /** Bearer key in the clear. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  /** Remaining milliseconds that the caller states. */
  readonly deadlineMs: number | undefined;
}

/** What a model call asks for. */
export interface RequestedModel {
  readonly prompt: Prompt;
  readonly weights: Model;
  /** "name@version", or empty. */
  readonly adapter: string;
}

/** A request that may go to a target of its service. */
export interface Call {
  readonly requestId: string;
  readonly service: RoutedService;
  /** Empty where the service asks for no customer. */
  readonly customer: string;
  /** Larger runs first. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  /** Fields for the target. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** The caller's key, or its request id: what a resend repeats. */
  readonly claimKey: string;
  /**
   * Finishes although its caller hung up: what must not run again, and either can't be undone or will be asked
   * for again, is of use only when its end is known.
   */
  readonly persistent: boolean;
  /** Model services only. */
  readonly model?: RequestedModel;
}
