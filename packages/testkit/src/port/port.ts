/**
 * Free ports for processes whose address others must know before they start, and keep over restarts.
 *
 * A port is given out seconds before somebody listens on it, and several test processes draw at once. Each given port
 * is therefore claimed by a listener on an address that nothing else uses; without the claim two processes would now
 * and then be given one port, and one of the programs that they start would end because its address is in use. The
 * kernel ends a claim with the process that holds it, so none outlives a test that was killed.
 */
import { createServer } from 'node:net';
import type { Server } from 'node:net';

/** Below the range from which the kernel takes ports of outgoing connections, so that none takes ours. */
const LOWEST = 12_000;
const HIGHEST = 30_000;
const TRIES = 200;
/** Loopback address of claims; tests' own processes use those from 127.0.0.1 to 127.0.2.255. */
const CLAIM_ADDRESS = '127.255.0.1';
/** Loopback address on which what is given must be free. */
const USED_ADDRESS = '127.0.0.1';

/** A listener on a port; undefined when it is in use. */
const listenOn = (address: string, port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, address, () => {
      resolve(server);
    });
  });

const close = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });

/** Claims a port until this process ends. @returns false when another process holds it or something listens on it. */
async function claim(port: number): Promise<boolean> {
  const held = await listenOn(CLAIM_ADDRESS, port);
  if (held === undefined) return false;
  const used = await listenOn(USED_ADDRESS, port);
  if (used === undefined) {
    await close(held);
    return false;
  }
  await close(used);
  held.unref();
  return true;
}

/** Claims ports that follow each other. @returns false when one can't be had; those before it stay claimed, unused. */
async function claimAll(first: number, count: number): Promise<boolean> {
  for (let port = first; port < first + count; port += 1) {
    if (!(await claim(port))) return false;
  }
  return true;
}

/** The first of ports on loopback that follow each other, are free and were not given to any process that lives. */
export async function freePorts(count: number): Promise<number> {
  for (let tries = 0; tries < TRIES; tries += 1) {
    const first = LOWEST + Math.floor(Math.random() * (HIGHEST - LOWEST - count));
    if (await claimAll(first, count)) return first;
  }
  throw new Error(`found no ${count} free ports`);
}

/** A port on loopback that is free and was not given to any process that lives. */
export const freePort = (): Promise<number> => freePorts(1);
