/** Callers in a thread of their own, which go on while the event loop of the test is slow. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

/** What callers in a thread do. */
export interface ThreadCallsOptions {
  /** host:port. */
  readonly address: string;
  /** Bytes that each caller writes on a connection of its own; all connections are opened at once. */
  readonly requests: readonly string[];
  /** Time after which callers close their connections, milliseconds; by default they wait for the end of an answer. */
  readonly leaveAfterMs?: number;
  /** Whether each caller ends its side after its request. */
  readonly endsSide?: boolean;
}

/** One caller; times are milliseconds since the epoch, with fractions. */
export interface ThreadCall {
  readonly sentAt: number;
  /** When its connection was closed, by either side. */
  readonly closedAt: number;
  /** When the first byte of an answer arrived; undefined: none did. */
  readonly answeredAt?: number;
  readonly answer: string;
}

const SCRIPT = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { address, requests, leaveAfterMs, endsSide } = workerData;
const [host, port] = address.split(':');
const now = () => performance.timeOrigin + performance.now();
const call = (request) => new Promise((resolve) => {
  const socket = connect({ host, port: Number(port), allowHalfOpen: endsSide === true });
  const seen = { answer: '' };
  socket.on('error', () => undefined);
  socket.on('connect', () => {
    seen.sentAt = now();
    socket.write(request);
    if (endsSide === true) socket.end();
    if (leaveAfterMs !== undefined) setTimeout(() => socket.destroy(), leaveAfterMs);
  });
  socket.on('data', (bytes) => {
    seen.answeredAt ??= now();
    seen.answer += bytes.toString('latin1');
  });
  socket.on('end', () => socket.destroy());
  socket.on('close', () => resolve({ ...seen, closedAt: now() }));
});
Promise.all(requests.map(call)).then((calls) => parentPort.postMessage(calls));
`;

/** The time by the clock of the callers, milliseconds since the epoch. */
export const threadTime = (): number => performance.timeOrigin + performance.now();

/** Makes calls from a thread. @returns them in the order of the requests, once all connections are closed. */
export async function callFromThread(options: ThreadCallsOptions): Promise<ThreadCall[]> {
  const worker = new Worker(SCRIPT, { eval: true, workerData: options });
  const [calls] = (await once(worker, 'message')) as [ThreadCall[]];
  await worker.terminate();
  return calls;
}
