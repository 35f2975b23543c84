/** Calls to gates: the agents beside targets. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client, Transport } from '@connectrpc/connect';
import { gateMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { Clock, Ran } from '@jasmineroute/core';

/** The generated client of one gate. */
export type GateRpc = Client<typeof gateMessage.Gate>;

/** What a gate knows an attempt by. */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptId: string;
  /** The target's incarnation that the attempt was meant for: a later one can't prove that it never ran. */
  readonly incarnation: string;
}

/** What the entry needs of the connections to gates. */
export type GatePeers = Pick<Peers, 'transport' | 'drop'>;

/** How often a cancellation is sent when its answer does not come. */
const MAX_CANCEL_TRIES = 2;

const ranOf: Record<gateMessage.Ran, Ran> = {
  [gateMessage.Ran.UNSPECIFIED]: 'may-have-run',
  [gateMessage.Ran.NOT_RUN]: 'not-run',
  [gateMessage.Ran.MAY_HAVE_RUN]: 'may-have-run',
  [gateMessage.Ran.RAN]: 'ran',
};

/** The run state that a gate's message states; anything unclear may have run. */
export function runState(ran: gateMessage.Ran): Ran {
  return ranOf[ran];
}

/** Whether a call failed before its connection stood, so that no byte of it has left. */
export function neverSent(error: unknown): boolean {
  let cause: unknown = error;
  for (let depth = 0; depth < 5 && cause instanceof Error; depth += 1) {
    if ((cause as NodeJS.ErrnoException).syscall === 'connect') return true;
    cause = cause.cause;
  }
  return false;
}

const notResumableCodes = new Set<Code>([Code.NotFound, Code.OutOfRange]);

/** Whether a gate answered that it does not know an attempt, or has its next events no more. */
export function cannotResume(error: unknown): boolean {
  return error instanceof ConnectError && notResumableCodes.has(error.code);
}

/** Clients by connection; a dropped connection's client goes with it. */
export class GateClients {
  private readonly clients = new WeakMap<Transport, GateRpc>();

  constructor(
    private readonly peers: GatePeers,
    private readonly clock: Clock,
    private readonly cancelTimeoutMs: number,
  ) {}

  /** The connection to a gate as it stands now. */
  connection(address: string): Transport {
    return this.peers.transport(address);
  }

  /** The client over a connection. */
  client(connection: Transport): GateRpc {
    const existing = this.clients.get(connection);
    if (existing !== undefined) return existing;
    const created = createClient(gateMessage.Gate, connection);
    this.clients.set(connection, created);
    return created;
  }

  /**
   * Cuts a connection that went silent, unless it was replaced already: streams that shared it find out one
   * after the other, and the later ones must not cut the new one.
   */
  drop(address: string, connection: Transport): boolean {
    if (this.peers.transport(address) !== connection) return false;
    this.peers.drop(address);
    return true;
  }

  /**
   * Stops an attempt and says what is proved of it. Without an answer it may have run. The gate records an
   * attempt that it does not know, so a Run message still in flight is refused on arrival: only that makes
   * "not run" true.
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
