/** Tries to connect to an instance that is silent. */
import { connect } from 'node:net';
import type { Clock } from '@jasmineroute/core';
import type { Evidence } from '@jasmineroute/coordination';

/** Longest wait for a connection, in milliseconds. */
const CONNECT_MS = 500;
/** A connection that is closed this soon had nobody behind it: something on the way took it. */
const HELD_MS = 200;

/** Tells a process that is gone from one that is stopped and from a host out of reach. */
export type Probe = (address: string) => Promise<Evidence>;

/** A probe over TCP. */
export function tcpProbe(clock: Clock): Probe {
  return (address) =>
    new Promise((resolve) => {
      const colon = address.lastIndexOf(':');
      const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon));
      let evidence: Evidence = 'unreachable';
      const finish = (found: Evidence): void => {
        cancel();
        socket.destroy();
        resolve(found);
      };
      let cancel = clock.after(CONNECT_MS, () => {
        finish('unreachable');
      });
      socket.on('connect', () => {
        cancel();
        evidence = 'refused';
        cancel = clock.after(HELD_MS, () => {
          finish('accepted');
        });
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET') evidence = 'refused';
      });
      socket.on('close', () => {
        finish(evidence);
      });
      socket.resume();
    });
}
