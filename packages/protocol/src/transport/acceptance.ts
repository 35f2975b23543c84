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
  /** Sockets to the address that are not closed. The library may begin a second one beside the one in use, and abort it. */
  private opened: Opened[] = [];
  private waitMs = MIN_ACCEPTANCE_MS;

  constructor(private readonly clock: Clock) {}

  /** Takes a new socket to the address. */
  watch(socket: Socket): void {
    this.forgetClosed();
    const opened: Opened = { socket, connectedAt: Infinity };
    this.opened.push(opened);
    socket.once('connect', () => {
      opened.connectedAt = this.clock.monotonic();
    });
    socket.once('close', () => {
      this.forgetClosed();
    });
  }

  /** Whether the current connection should be kept, as it may be accepted soon. */
  isPending(): boolean {
    const now = this.clock.monotonic();
    return this.opened.some(({ socket, connectedAt }) => {
      const waitedMs = now - connectedAt;
      return !socket.destroyed && socket.bytesRead === 0 && waitedMs >= 0 && waitedMs < this.waitMs;
    });
  }

  /** The current connection is given up. */
  giveUp(): void {
    const isUnanswered = this.opened.some(({ connectedAt }) => connectedAt < Infinity);
    this.waitMs = isUnanswered ? Math.min(MAX_ACCEPTANCE_MS, this.waitMs * 2) : this.waitMs;
    this.endWaits(this.opened);
    this.opened = [];
  }

  private forgetClosed(): void {
    this.endWaits(this.opened);
    this.opened = this.opened.filter(({ socket }) => !socket.destroyed);
  }

  /** The next connection waits for the shortest time again once one has been answered. */
  private endWaits(opened: readonly Opened[]): void {
    if (opened.some(({ socket }) => socket.bytesRead > 0)) this.waitMs = MIN_ACCEPTANCE_MS;
  }
}
