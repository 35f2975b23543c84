import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { fault, silentMetrics, systemClock } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { Peers, controlMessage, errorOf, listen } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { ClaimClient } from './claimClient.js';
import { ControlAddresses } from './controlAddresses.js';
import { ControlClient } from './controlClient.js';

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** A control instance that grants turns, or refuses with a fault. */
async function control(refusal?: Fault): Promise<string> {
  const server = await listen('127.0.0.1', 0, (router) => {
    router.service(controlMessage.Turns, {
      take: () => {
        if (refusal !== undefined) throw errorOf(refusal);
        return create(controlMessage.TakeResponseSchema, { granted: true, fence: 7n });
      },
    });
  });
  closers.push(() => server.close());
  return server.address;
}

/** Accepts connections and never answers. */
async function silentServer(): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => sockets.add(socket)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => server.close(resolve));
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls the given addresses in this order. */
function controlsOf(...controls: string[]): ControlClient {
  const peers = new Peers();
  let draw = 0;
  const inOrder = (): number => (draw += 1);
  const addresses = new ControlAddresses(controls, () => systemClock.monotonic(), inOrder);
  closers.push(() => {
    peers.close();
    return Promise.resolve();
  });
  return new ControlClient({ controls: addresses, peers, clock: systemClock, metrics: silentMetrics });
}

const turn = { name: 't', holder: 'h', limit: 1, ttlMs: 1_000 };

const take = (controls: ControlClient, timeoutMs = 4_000) =>
  controls.call(
    (transport, signal) => createClient(controlMessage.Turns, transport).take(turn, { signal }),
    timeoutMs,
  );

const GONE = '127.0.0.1:1';

describe('Controls', () => {
  it('fails over from instances that are gone, silent or without a quorum', async () => {
    const partitioned = await control(fault('no-quorum', 'cut off', { ran: 'not-run' }));
    const answer = await take(controlsOf(GONE, await silentServer(), partitioned, await control()), 10_000);
    expect(answer._unsafeUnwrap().fence).toBe(7n);
  });

  it('reports not-run only if it holds for every attempt', async () => {
    // A caller must not be told that its call did not run when it did. One instance may accept the call and go silent
    // while the next refuses connections, so the last attempt alone does not decide.
    const refused = await take(controlsOf(GONE), 300);
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'target-unreachable', ran: 'not-run' });
    const mixed = await take(controlsOf(await silentServer(), GONE), 1_600);
    expect(mixed._unsafeUnwrapErr()).toMatchObject({ kind: 'target-unreachable', ran: 'may-have-run' });
  });

  // Guards against a client that calls only the instances known at its start after all of them have been replaced.
  it('calls the instances that are known at the moment of the call', async () => {
    const peers = new Peers();
    closers.push(() => {
      peers.close();
      return Promise.resolve();
    });
    let known = [GONE];
    const client = new ControlClient({
      controls: () => known,
      peers,
      clock: systemClock,
      metrics: silentMetrics,
    });
    expect((await take(client, 200)).isErr()).toBe(true);
    const pending = take(client);
    known = [await control()];
    expect((await pending).isOk()).toBe(true);
    expect((await take(client, 200)).isOk()).toBe(true);
  });

  it('returns a decision of the service with its kind, without trying another instance', async () => {
    const forbidden = fault('forbidden', 'not yours');
    const answer = await take(controlsOf(await control(forbidden)));
    expect(answer._unsafeUnwrapErr()).toMatchObject({
      kind: 'forbidden',
      message: 'not yours',
      ran: 'not-run',
    });
  });

  it('returns claims-unavailable for a failed claim', async () => {
    const claims = new ClaimClient(controlsOf(GONE));
    const answer = await claims.claim({ service: 's', key: 'k', attemptId: 'a' }, 200);
    expect(answer._unsafeUnwrapErr()).toMatchObject({ kind: 'claims-unavailable', ran: 'not-run' });
  });
});
