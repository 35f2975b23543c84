/** Calls the documents service of whichever control instance answers. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import { fault, silentMetrics } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { ControlClient } from '@jasmineroute/directory';
import { controlMessage, errorOf } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { exitCodeOf, exitCodes } from '../exit/index.js';

/** The documents service of one control instance. */
export type DocumentsClient = Client<typeof controlMessage.Documents>;

/** The configurations service of one control instance. */
export type ConfigurationsClient = Client<typeof controlMessage.Configurations>;

/** One attempt at a call. Faults that another instance may not have are tried there. */
export type Attempt<T> = (client: DocumentsClient, options: CallOptions) => Promise<Result<T, Fault>>;

/** An answer that says whether it holds all that was accepted before the question. */
export interface Vouched {
  readonly vouched: boolean;
}

/** How long an answer that is vouched for is looked for while others come in. */
const VOUCHED_WAIT_MS = 2_000;

/** What calls are made with. */
export interface DocumentControlsOptions {
  readonly addresses: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  /** Bound on a call with all its attempts. */
  readonly timeoutMs: number;
}

/** The documents services. Attempts are repeated: only calls that a repetition doesn't harm may be made. */
export class DocumentControls {
  private readonly controls: ControlClient;
  private readonly clock: Clock;
  private readonly timeoutMs: number;

  constructor({ addresses, peers, clock, timeoutMs }: DocumentControlsOptions) {
    this.clock = clock;
    this.controls = new ControlClient({ controls: () => addresses, peers, clock, metrics: silentMetrics });
    this.timeoutMs = timeoutMs;
  }

  /** Calls until an instance answers or the time is up; then the fault is of kind "no-quorum". */
  async call<T>(attempt: Attempt<T>): Promise<Result<T, Fault>> {
    const result = await this.controls.call(async (transport, signal) => {
      const client = createClient(controlMessage.Documents, transport);
      const answer = await attempt(client, { signal }).catch(rethrowFinal);
      if (answer.isErr()) throw errorOf(answer.error);
      return answer.value;
    }, this.timeoutMs);
    return result.mapErr(unreachable);
  }

  /** Calls the configurations service of an instance that answers. The call may be repeated. */
  async configurations<T>(
    call: (client: ConfigurationsClient, options: CallOptions) => Promise<T>,
  ): Promise<Result<T, Fault>> {
    const result = await this.controls.call((transport, signal) => {
      const client = createClient(controlMessage.Configurations, transport);
      return call(client, { signal }).catch(rethrowFinal);
    }, this.timeoutMs);
    return result.mapErr(unreachable);
  }

  /** Calls something that changes nothing. */
  async read<T>(
    call: (client: DocumentsClient, options: CallOptions) => Promise<T>,
  ): Promise<Result<T, Fault>> {
    const result = await this.call(async (client, options) => ok(await call(client, options)));
    return result.mapErr(unchanged);
  }

  /**
   * Reads from an instance that vouches for its answer. One that is cut off from the others goes on answering
   * with what it knew, and what it shows may be long past; only when no other is found is its answer taken.
   */
  async readVouched<T extends Vouched>(
    call: (client: DocumentsClient, options: CallOptions) => Promise<T>,
  ): Promise<Result<T, Fault>> {
    const end = this.clock.monotonic() + Math.min(VOUCHED_WAIT_MS, this.timeoutMs / 2);
    const result = await this.call(async (client, options) => {
      const answer = await call(client, options);
      if (answer.vouched || this.clock.monotonic() >= end) return ok(answer);
      return err(fault('no-quorum', 'the instance is not in touch with a quorum'));
    });
    return result.mapErr(unchanged);
  }
}

/** A lost answer to a read leaves nothing in doubt. */
function unchanged(failure: Fault): Fault {
  return { ...failure, ran: 'not-run' };
}

/** One kind for all ways in which no instance answered. */
function unreachable(failure: Fault): Fault {
  const { kind, message, ran } = failure;
  if (exitCodeOf(kind) !== exitCodes.unreachable) return failure;
  return fault('no-quorum', `no control instance answered for a quorum; the last one: ${message}`, { ran });
}

/** Errors of the protocol that every instance would give: a tool of another version, for one. */
const finalCodes: ReadonlySet<Code> = new Set([
  Code.InvalidArgument,
  Code.Unimplemented,
  Code.ResourceExhausted,
]);

function rethrowFinal(error: unknown): never {
  const { code, rawMessage } = ConnectError.from(error);
  throw finalCodes.has(code) ? errorOf(fault('invalid-request', rawMessage)) : error;
}
