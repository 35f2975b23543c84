import { ManualClock, silentLog, silentMetrics } from '@jasmineroute/core';
import type { Transport } from '@connectrpc/connect';
import { beforeEach, expect, it } from 'vitest';
import { PeerClient } from './peerClient.js';

const ADDRESS = 'a:1';
const BOUNDS = { leastMs: 500, mostMs: 1_500 };

/** Longer than any timeout of a call, milliseconds. */
const LATE_MS = 4_000;

let clock: ManualClock;
let received: number;
let dropped: string[];
let peers: PeerClient;

beforeEach(() => {
  clock = new ManualClock();
  received = 0;
  dropped = [];
  const transport = {} as Transport;
  peers = new PeerClient({
    connect: () => transport,
    drop: (address) => dropped.push(address),
    received: () => received,
    clock,
    log: silentLog,
    metrics: silentMetrics,
    timeoutBounds: BOUNDS,
  });
});

/** A call that is never answered. @returns whether it failed. */
async function call(): Promise<boolean> {
  const answer = peers.call(
    ADDRESS,
    (_client, signal) =>
      new Promise((_resolve, reject) => {
        signal.addEventListener('abort', () => {
          reject(new Error('aborted'));
        });
      }),
  );
  for (let passed = 0; passed < LATE_MS; passed += 100) {
    received += perStep;
    await clock.advance(100);
  }
  return (await answer).isErr();
}

/** Bytes that arrive over the connection in each step. */
let perStep = 0;

it('drops a connection over which nothing arrives before the timeout of a call', async () => {
  perStep = 0;
  expect(await call()).toBe(true);
  expect(dropped).toEqual([ADDRESS]);
});

// Guards against connections to a busy replica that are closed for late answers: the next ones wait to be accepted behind all others,
// and all calls on them with them.
it('keeps a connection over which other messages arrive', async () => {
  perStep = 20;
  expect(await call()).toBe(true);
  expect(dropped).toEqual([]);
});
