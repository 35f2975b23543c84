import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { systemClock } from '../clock/index.js';
import { AcceptBacklog } from './acceptBacklog.js';
import type { AcceptedSeries } from './acceptBacklog.js';

const CONNECTIONS = 8;

/** Turns of the event loop after which a series without a further connection has ended. */
const TURNS_TO_END = 4;

describe('AcceptBacklog', () => {
  let server: Server;
  let callers: Socket[];
  let ended: AcceptedSeries[];

  beforeEach(async () => {
    ended = [];
    callers = [];
    const backlog = new AcceptBacklog('callers', systemClock, (series) => ended.push(series));
    server = createServer((socket) => {
      backlog.record();
      socket.on('error', () => undefined);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const caller of callers) caller.destroy();
    server.close();
  });

  const open = async (count: number): Promise<void> => {
    const { port } = server.address() as AddressInfo;
    const opened = Array.from({ length: count }, () => connect(port, '127.0.0.1'));
    callers.push(...opened);
    await Promise.all(opened.map((caller) => once(caller, 'connect')));
    for (let turn = 0; turn < count + TURNS_TO_END; turn += 1) await setImmediate();
  };

  it('counts connections that are accepted in consecutive turns as one series', async () => {
    await open(CONNECTIONS);
    expect(ended.map(({ connections }) => connections)).toEqual([CONNECTIONS]);
  });

  it('ends a series in the first turn without a connection', async () => {
    await open(1);
    await open(1);
    expect(ended.map(({ connections }) => connections)).toEqual([1, 1]);
  });
});
