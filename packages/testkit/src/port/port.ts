/** Free ports for processes whose address others must know before they start, and keep over restarts. */
import { createServer } from 'node:net';

/** Below the range from which the kernel takes ports of outgoing connections, so that none takes ours. */
const LOWEST = 12_000;
const HIGHEST = 30_000;
const TRIES = 200;

const given = new Set<number>();

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/** A port on loopback that is free and that this process has not given out yet. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < TRIES; tries += 1) {
    const port = LOWEST + Math.floor(Math.random() * (HIGHEST - LOWEST));
    if (given.has(port)) continue;
    given.add(port);
    if (await isFree(port)) return port;
  }
  throw new Error('found no free port');
}
