/** One connection through the proxy. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Direction, LinkCondition } from './fault.js';
import { Pump } from './pump.js';

/** Where the proxy leads to. */
export interface Destination {
  readonly host: string;
  readonly port: number;
}

/** A connection from a client to the destination. */
export class ProxiedConnection {
  private readonly server: Socket;
  private readonly pumps: Readonly<Record<Direction, Pump>>;
  private silent = false;

  constructor(
    private readonly client: Socket,
    destination: Destination,
    condition: () => LinkCondition,
    closed: (connection: ProxiedConnection) => void,
  ) {
    this.server = connect({ ...destination, allowHalfOpen: true });
    for (const socket of [client, this.server]) {
      socket.setNoDelay(true);
      // A reset on one side is passed on as a reset; the error itself says no more than the close.
      socket.on('error', () => undefined);
    }
    this.pumps = {
      up: new Pump(client, this.server, condition),
      down: new Pump(this.server, client, condition),
    };
    client.on('close', (hadError) => {
      if (this.silent) return;
      this.endOther(this.server, hadError);
      closed(this);
    });
    this.server.on('close', (hadError) => {
      if (!this.silent) this.endOther(client, hadError);
    });
  }

  /** IP address of the connecting side. */
  get source(): string {
    return this.client.remoteAddress ?? '';
  }

  /** Ends both sides with a reset. */
  reset(): void {
    this.silent = false;
    this.client.resetAndDestroy();
    this.server.resetAndDestroy();
  }

  /** Loses all bytes of the given directions from now on; neither side is told. */
  lose(directions: readonly Direction[]): void {
    this.silent = true;
    for (const direction of directions) this.pumps[direction].lose();
  }

  /** Ends one direction properly, leaving the other open. */
  halfClose(direction: Direction): void {
    const side = { up: this.server, down: this.client }[direction];
    side.end();
  }

  /** Lets go of both sockets. */
  destroy(): void {
    this.client.destroy();
    this.server.destroy();
  }

  private endOther(other: Socket, hadError: boolean): void {
    if (other.destroyed) return;
    if (hadError) other.resetAndDestroy();
    else if (other.writableEnded) other.destroy();
    else other.end();
  }
}
