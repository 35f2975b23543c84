/** Calls control instances, one after another until one answers. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { CallOptions, Client } from '@connectrpc/connect';
import { answerOf, fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Bound on one attempt: a connection that went silent must not use up the time for the others. */
const ATTEMPT_TIMEOUT_MS = 3_000;

const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_000;

/** The documents service of one control instance. */
export type DocumentsClient = Client<typeof controlMessage.Documents>;

/** One attempt at a call. Faults whose kind is retryable are tried at the next instance. */
export type Attempt<T> = (client: DocumentsClient, options: CallOptions) => Promise<Result<T, Fault>>;

/** What calls are made with. */
export interface ControlsOptions {
  readonly addresses: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  /** Bound on a call with all its attempts. */
  readonly timeoutMs: number;
}

/** The control instances. Attempts are repeated: only idempotent calls may be made. */
export class Controls {
  /** Place in the list of the instance that answered last. */
  private preferred = 0;

  constructor(private readonly options: ControlsOptions) {}

  /** Calls until an instance answers or the time is up. */
  async call<T>(attempt: Attempt<T>): Promise<Result<T, Fault>> {
    const { addresses, clock, timeoutMs } = this.options;
    const end = clock.monotonic() + timeoutMs;
    const failures = new Map<string, Fault>();
    for (let tried = 0; ; tried += 1) {
      const remaining = end - clock.monotonic();
      if (remaining <= 0) return err(unreachable(failures));
      const address = addresses[this.preferred % addresses.length] ?? '';
      const result = await this.attemptAt(address, attempt, Math.min(remaining, ATTEMPT_TIMEOUT_MS));
      if (result.isOk() || !isRetryable(result.error)) return result;
      failures.set(address, result.error);
      this.preferred += 1;
      if ((tried + 1) % addresses.length === 0) await this.pause(tried, end);
    }
  }

  private async attemptAt<T>(
    address: string,
    attempt: Attempt<T>,
    timeoutMs: number,
  ): Promise<Result<T, Fault>> {
    const { peers } = this.options;
    const client = createClient(controlMessage.Documents, peers.transport(address));
    try {
      return await attempt(client, { timeoutMs });
    } catch (error) {
      const failure = faultOfError(error);
      // The connection may be what is at fault: the next attempt gets a new one.
      if (isRetryable(failure)) peers.drop(address);
      return err(failure);
    }
  }

  /** Waits between two rounds, longer each time, never beyond the end. */
  private async pause(tried: number, end: number): Promise<void> {
    const { addresses, clock } = this.options;
    const round = Math.floor(tried / addresses.length);
    const ms = Math.min(FIRST_PAUSE_MS * 2 ** round, LONGEST_PAUSE_MS, end - clock.monotonic());
    if (ms > 0) await clock.sleep(ms);
  }
}

function isRetryable(failure: Fault): boolean {
  return failure.kind === 'storage-failed' || answerOf(failure.kind).retryable;
}

/** Codes that another attempt would get again. */
const finalCodes: ReadonlyMap<Code, Fault['kind']> = new Map([
  [Code.InvalidArgument, 'invalid-request'],
  [Code.NotFound, 'unknown-document'],
  [Code.PermissionDenied, 'not-owner'],
  [Code.Unauthenticated, 'not-owner'],
  [Code.Unimplemented, 'invalid-request'],
]);

function faultOfError(error: unknown): Fault {
  const connectError = ConnectError.from(error);
  const kind = finalCodes.get(connectError.code) ?? 'no-quorum';
  const ran = kind === 'no-quorum' ? 'may-have-run' : 'not-run';
  return fault(kind, connectError.rawMessage, { ran, cause: error });
}

/** One fault that names what each instance last said. */
function unreachable(failures: ReadonlyMap<string, Fault>): Fault {
  const reasons = [...failures].map(([address, failure]) => `${address}: ${failure.message}`);
  const message = `no control instance answered for a quorum (${reasons.join('; ')})`;
  return fault('no-quorum', message, { ran: 'may-have-run' });
}
