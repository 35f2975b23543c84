/** Tests whether a silent instance accepts connections. */
import { connect } from 'node:net';
import type { Clock } from '@jasmineroute/core';
import type { ProbeResult } from '@jasmineroute/coordination';

/** Timeout of a connection attempt, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** A connection closed within this time, in milliseconds, was accepted by an intermediary such as a proxy. */
const STABLE_CONNECTION_MS = 200;

/** Distinguishes an exited process, a paused process and an unreachable host. */
export type Probe = (address: string) => Promise<ProbeResult>;

/** Probes over TCP. */
export function tcpProbe(clock: Clock): Probe {
  return (address) =>
    new Promise((resolve) => {
      const colon = address.lastIndexOf(':');
      const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon));
      let evidence: ProbeResult = 'unreachable';
      const finish = (found: ProbeResult): void => {
        cancel();
        socket.destroy();
        resolve(found);
      };
      let cancel = clock.after(CONNECT_TIMEOUT_MS, () => {
        finish('unreachable');
      });
      socket.on('connect', () => {
        cancel();
        evidence = 'refused';
        cancel = clock.after(STABLE_CONNECTION_MS, () => {
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
