/** Calls to other replicas, with timeouts; a connection on which a call times out is not used again. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { afterActive, fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { coordinationEvents } from '../events.js';
import { Agreement } from '../gen/agreement/agreement_pb.js';
import { coordinationMetrics } from '../metrics.js';
import { ResponseTimeouts } from './responseTimeouts.js';
import type { TimeoutBounds } from './responseTimeouts.js';

/** Client of the service between replicas. */
export type AgreementClient = Client<typeof Agreement>;

/** Dependencies of a peer client. */
export interface PeerClientOptions {
  readonly connect: (address: string) => Transport;
  readonly drop: (address: string) => void;
  /** Bytes received over the connection to an address; absent: unknown. */
  readonly received?: (address: string) => number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeoutBounds: TimeoutBounds;
}

/** HTTP/2 error code of a stream that was not processed at all (RFC 9113, 8.7), for example one opened after a GOAWAY. */
const REFUSED_STREAM = 'NGHTTP2_REFUSED_STREAM';

/** Whether the connection or the stream was refused, so that the call was never processed. */
function isUnsent(error: ConnectError): boolean {
  const code = (error.cause as NodeJS.ErrnoException | undefined)?.code;
  return code === 'ECONNREFUSED' || error.rawMessage.includes(REFUSED_STREAM);
}

/** Options of one call. */
export interface CallOptions {
  /**
   * Timeout of a call that may legitimately take long, milliseconds; expiry does not mean that the connection is dead. By
   * default the timeout follows the response times of the replica.
   */
  readonly timeoutMs?: number;
  /** Factor on the default timeout, for calls that wait for a disk. */
  readonly timeoutFactor?: number;
  /** Extension of the default timeout, milliseconds, for calls that send many bytes. */
  readonly extraMs?: number;
}

/** Calls other replicas by address. */
export class PeerClient {
  private readonly clients = new WeakMap<Transport, AgreementClient>();
  private readonly responseTimeouts: ResponseTimeouts;
  /** Monotonic times of the last recorded timeouts, by address. */
  private readonly timedOutAt = new Map<string, number>();

  constructor(private readonly options: PeerClientOptions) {
    this.responseTimeouts = new ResponseTimeouts(options.timeoutBounds);
  }

  /**
   * Makes one call. Errors: `target-unreachable` when the call was certainly not processed, `invalid-request` when the other
   * replica rejected it, `target-lost` otherwise.
   * A device between two replicas, such as a firewall, can lose the state of a connection without closing it: calls on it only
   * time out, while a new connection works. So the first timeout drops the connection, unless something was received over it
   * meanwhile: a replica that is only slow would answer even later on a new one.
   */
  async call<T>(
    address: string,
    action: (client: AgreementClient, signal: AbortSignal) => Promise<T>,
    { timeoutMs, timeoutFactor = 1, extraMs = 0 }: CallOptions = {},
  ): Promise<Result<T, Fault>> {
    const { clock } = this.options;
    const connected = this.transportTo(address);
    if (connected.isErr()) return err(connected.error);
    const transport = connected.value;
    const controller = new AbortController();
    const callTimeoutMs = timeoutMs ?? this.responseTimeouts.waitMs(address) * timeoutFactor + extraMs;
    const abort = (): void => {
      controller.abort();
    };
    // A timeout that drops the connection must not include stalls of this process; a caller's deadline does.
    const cancel =
      timeoutMs === undefined ? afterActive(clock, callTimeoutMs, abort) : clock.after(callTimeoutMs, abort);
    const isMeasured = timeoutMs === undefined && timeoutFactor === 1;
    const startedAt = clock.monotonic();
    const receivedBefore = this.received(address);
    try {
      const answer = await action(this.client(transport), controller.signal);
      if (isMeasured) this.responseTimeouts.recordResponse(address, clock.monotonic() - startedAt);
      return ok(answer);
    } catch (error) {
      const isTimedOut = controller.signal.aborted && timeoutMs === undefined;
      // Another call may have replaced the connection already; the new one must not be dropped.
      if (isTimedOut && this.options.connect(address) === transport) {
        this.recordTimeout(address, startedAt);
        if (this.received(address) === receivedBefore) this.dropConnection(address, callTimeoutMs);
      }
      return err(callFault(address, error));
    } finally {
      cancel();
    }
  }

  /** The address may come from another process and be invalid. */
  private transportTo(address: string): Result<Transport, Fault> {
    try {
      return ok(this.options.connect(address));
    } catch (cause) {
      return err(fault('target-unreachable', `"${address}" is not a valid address`, { cause }));
    }
  }

  private client(transport: Transport): AgreementClient {
    const existing = this.clients.get(transport);
    if (existing !== undefined) return existing;
    const client = createClient(Agreement, transport);
    this.clients.set(transport, client);
    return client;
  }

  private received(address: string): number {
    return this.options.received?.(address) ?? 0;
  }

  private dropConnection(address: string, timeoutMs: number): void {
    this.options.drop(address);
    this.options.log.event(coordinationEvents.connectionDropped, { address, timeoutMs });
    this.options.metrics.count(coordinationMetrics.dropped);
  }

  /** Calls that were under way together time out together, which counts once. */
  private recordTimeout(address: string, startedAt: number): void {
    if (startedAt < (this.timedOutAt.get(address) ?? -Infinity)) return;
    this.timedOutAt.set(address, this.options.clock.monotonic());
    this.responseTimeouts.recordTimeout(address);
  }
}

function callFault(address: string, error: unknown): Fault {
  const connectError = ConnectError.from(error);
  if (isUnsent(connectError)) return fault('target-unreachable', `${address} refused the connection`);
  const reason = Code[connectError.code];
  if (connectError.code === Code.InvalidArgument)
    return fault('invalid-request', `call to ${address} failed: ${reason}`, { cause: error });
  return fault('target-lost', `call to ${address} failed: ${reason}`, { cause: error });
}
