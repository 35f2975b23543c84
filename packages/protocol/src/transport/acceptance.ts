/** Connections that the system of a host has opened and its process has not yet accepted. */
import type { Socket } from 'node:net';
import type { Clock } from '@jasmineroute/core';

/** Shortest time for which a connection may wait to be accepted, milliseconds. */
const MIN_ACCEPTANCE_MS = 1_000;

/**
 * Longest such time, milliseconds. It bounds how late a connection is replaced whose state a device between the hosts has lost
 * before the first answer.
 */
export const MAX_ACCEPTANCE_MS = 4_000;

interface Opened {
  readonly socket: Socket;
  connectedAt: number;
}

/**
 * Tells whether the connection to an address waits to be accepted. Node accepts one connection in each turn of its event loop,
 * so a busy process has a queue of them. One that is closed for want of an answer and opened again waits behind all others,
 * and may never have its turn. Each connection that was given up unanswered doubles the wait of the next one.
 */
export class Acceptance {
  private opened: Opened | undefined;
  private waitMs = MIN_ACCEPTANCE_MS;

  constructor(private readonly clock: Clock) {}

  /** Takes a new socket to the address. */
  watch(socket: Socket): void {
    const opened: Opened = { socket, connectedAt: Infinity };
    this.opened = opened;
    socket.once('connect', () => {
      opened.connectedAt = this.clock.monotonic();
    });
  }

  /** Whether the current connection should be kept, as it may be accepted soon. */
  isPending(): boolean {
    if (this.opened === undefined) return false;
    const { socket, connectedAt } = this.opened;
    if (socket.destroyed || socket.bytesRead > 0) return false;
    const waitedMs = this.clock.monotonic() - connectedAt;
    return waitedMs >= 0 && waitedMs < this.waitMs;
  }

  /** The current connection is given up. */
  giveUp(): void {
    if (this.opened === undefined) return;
    const { socket, connectedAt } = this.opened;
    this.opened = undefined;
    const isUnanswered = connectedAt < Infinity && socket.bytesRead === 0;
    this.waitMs = isUnanswered ? Math.min(MAX_ACCEPTANCE_MS, this.waitMs * 2) : MIN_ACCEPTANCE_MS;
  }
}
