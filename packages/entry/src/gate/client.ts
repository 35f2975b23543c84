/** RPC clients for gates, the request services of the agents beside targets. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { gateMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { Clock, Ran } from '@jasmineroute/core';

/** RPC client of one gate. */
export type GateRpc = Client<typeof gateMessage.Gate>;

/** Identifies an attempt at a gate. */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptId: string;
  /** Incarnation of the target that the attempt was sent to. A later one can't prove that the attempt never ran. */
  readonly incarnation: string;
}

/** The part of `Peers` that the entry uses to connect to gates. */
export type GatePeers = Pick<Peers, 'transport' | 'drop'>;

/** How many times a cancellation is sent when no response comes. */
const MAX_CANCEL_TRIES = 2;

const ranOf: Record<gateMessage.Ran, Ran> = {
  [gateMessage.Ran.UNSPECIFIED]: 'may-have-run',
  [gateMessage.Ran.NOT_RUN]: 'not-run',
  [gateMessage.Ran.MAY_HAVE_RUN]: 'may-have-run',
  [gateMessage.Ran.RAN]: 'ran',
};

/** Run state from a gate's message. An unspecified one counts as "may have run". */
export function runState(ran: gateMessage.Ran): Ran {
  return ranOf[ran];
}

/** Whether a call failed before its connection was established, so that no byte of it was sent. */
export function neverSent(error: unknown): boolean {
  let cause: unknown = error;
  for (let depth = 0; depth < 5 && cause instanceof Error; depth += 1) {
    if ((cause as NodeJS.ErrnoException).syscall === 'connect') return true;
    cause = cause.cause;
  }
  return false;
}

const notResumableCodes = new Set<Code>([Code.NotFound, Code.OutOfRange]);

/** Whether a gate answered that it does not know the attempt, or no longer has the requested events. */
export function cannotResume(error: unknown): boolean {
  return error instanceof ConnectError && notResumableCodes.has(error.code);
}

/** RPC clients of gates, one for each connection; a client is garbage-collected with its connection. */
export class GateClients {
  private readonly clients = new WeakMap<Transport, GateRpc>();

  constructor(
    private readonly peers: GatePeers,
    private readonly clock: Clock,
    private readonly cancelTimeoutMs: number,
  ) {}

  /** The current connection to a gate. */
  connection(address: string): Transport {
    return this.peers.transport(address);
  }

  /** The client that uses a connection. */
  client(connection: Transport): GateRpc {
    const existing = this.clients.get(connection);
    if (existing !== undefined) return existing;
    const created = createClient(gateMessage.Gate, connection);
    this.clients.set(connection, created);
    return created;
  }

  /**
   * Closes a connection that went silent, unless it was replaced already. Streams that share a connection detect the
   * silence one after the other, and the later ones must not close the new connection.
   * @returns whether the connection was closed.
   */
  drop(address: string, connection: Transport): boolean {
    if (this.peers.transport(address) !== connection) return false;
    this.peers.drop(address);
    return true;
  }

  /**
   * Cancels an attempt and returns its proven run state; without a response it may have run. A gate records the
   * cancellation even of an unknown attempt and so refuses a Run message that arrives later. Only this makes
   * "not run" certain.
   */
  async cancel(address: string, attempt: AttemptRef): Promise<Ran> {
    for (let tries = 0; tries < MAX_CANCEL_TRIES; tries += 1) {
      const connection = this.connection(address);
      try {
        const { ran } = await this.withCancelTimeout((signal) =>
          this.client(connection).cancel(attempt, { signal }),
        );
        return runState(ran);
      } catch (error) {
        if (neverSent(error)) break;
        this.drop(address, connection);
      }
    }
    return 'may-have-run';
  }

  private async withCancelTimeout<T>(call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    const controller = new AbortController();
    const cancelTimer = this.clock.after(this.cancelTimeoutMs, () => {
      controller.abort();
    });
    try {
      return await call(controller.signal);
    } finally {
      cancelTimer();
    }
  }
}
