/** Tells a target whose process has ended from one that only lost a connection. */
import { connect } from 'node:net';
import type { Clock } from '@jasmineroute/core';

/** Time within which a target accepts or refuses a connection, milliseconds: a few round trips to a busy host. */
const PROBE_TIMEOUT_MS = 200;

/**
 * Result of a probe. `refused`: no process listens at the address. `unanswered`: the host is down, or the network does not reach
 * it.
 */
export type ProbeResult = 'accepted' | 'refused' | 'unanswered';

/** Opens a connection to host:port and closes it at once. */
export function probeTarget(address: string, clock: Clock): Promise<ProbeResult> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (result: ProbeResult): void => {
      cancelTimer();
      socket.destroy();
      resolve(result);
    };
    const cancelTimer = clock.after(PROBE_TIMEOUT_MS, () => {
      settle('unanswered');
    });
    socket.once('connect', () => {
      settle('accepted');
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      settle(code === 'ECONNREFUSED' ? 'refused' : 'unanswered');
    });
  });
}
