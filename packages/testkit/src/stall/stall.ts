/** A process that stands still: the test and what it tests share one event loop. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Holds the event loop for so long, milliseconds. What the test writes or closes before it goes on is not read yet. */
export function blockLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Opens connections to host:port; the other end has not taken them yet. */
export async function openConnections(address: string, count: number): Promise<Socket[]> {
  const [host = '', port = ''] = address.split(':');
  const sockets = Array.from({ length: count }, () => connect(Number(port), host));
  for (const socket of sockets) socket.on('error', () => undefined);
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  return sockets;
}

/** Makes each turn of the event loop last for at least so long, milliseconds, until the returned function is called. */
export function slowTurns(ms: number): () => void {
  let isSlow = true;
  const turn = (): void => {
    if (!isSlow) return;
    blockLoop(ms);
    setImmediate(turn);
  };
  turn();
  return () => {
    isSlow = false;
  };
}
