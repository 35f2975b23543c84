import { createClient } from '@connectrpc/connect';
import { StallWatch, systemClock, silentLog } from '@jasmineroute/core';
import type { AcceptBacklog } from '@jasmineroute/core';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { Turns } from '../gen/jasmineroute/control_pb.js';
import { Peers } from './peers.js';
import { listen } from './server.js';
import type { RpcServer } from './server.js';

const PEERS = 20;

/** Time that the handling of a call takes without a rest, milliseconds. */
const WORK_MS = 20;

/** Number of calls that may be handled before all connections that have arrived are accepted. */
const HANDLED_FIRST = 2;

class CountingStallWatch extends StallWatch {
  accepted = 0;

  override listener(name: string): AcceptBacklog {
    const backlog = super.listener(name);
    const record = backlog.record.bind(backlog);
    backlog.record = () => {
      this.accepted += 1;
      return record();
    };
    return backlog;
  }
}

const peers = Array.from({ length: PEERS }, () => new Peers());
let stalls: CountingStallWatch;
let server: RpcServer;
let acceptedWhenHandled: number[];

beforeEach(async () => {
  stalls = new CountingStallWatch(systemClock);
  acceptedWhenHandled = [];
  server = await listen(
    '127.0.0.1',
    0,
    (router) => {
      router.service(Turns, {
        take: () => {
          const end = performance.now() + WORK_MS;
          while (performance.now() < end);
          acceptedWhenHandled.push(stalls.accepted);
          return {};
        },
      });
    },
    undefined,
    { stalls, log: silentLog },
  );
});

afterEach(async () => {
  for (const one of peers) one.close();
  await server.close();
});

// Guards against connections that wait to be accepted behind the calls on others. Their callers give up after a second, and their
// next connections wait behind all others again.
it('connections that have arrived are accepted before calls are handled', async () => {
  const request = { name: 'n', holder: 'h', limit: 1, ttlMs: 1_000 };
  const calls = peers.map((one) => createClient(Turns, one.transport(server.address)).take(request));
  await Promise.all(calls);
  expect(acceptedWhenHandled).toHaveLength(PEERS);
  expect(acceptedWhenHandled[HANDLED_FIRST]).toBe(PEERS);
});
