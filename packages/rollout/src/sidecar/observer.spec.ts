import { silentLog } from '@jasmineroute/core';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, describe, expect, it } from 'vitest';
import { Observer } from './observer.js';

describe('the observer', () => {
  const servers: RpcServer[] = [];
  const peers = new Peers();

  afterEach(async () => {
    peers.close();
    await Promise.all(servers.map((server) => server.close()));
  });

  it('goes on once one control instance has heard, and tells all that there are', async () => {
    // Symptom: while one control instance is frozen each load of weights takes 0.8 s longer, and later twice as many
    // targets load at once.
    // Sequence: a target's pause, and its end, are told to all instances; one of them does not answer.
    // Cause: the order waited for the answers of all.
    let endHang = (): void => undefined;
    const hangs = new Promise<void>((resolve) => (endHang = resolve));
    const asked: string[] = [];
    const serverThat = (name: string, waits: Promise<void>): Promise<RpcServer> =>
      listen('127.0.0.1', 0, (router) => {
        router.service(controlMessage.Configurations, {
          observe: async () => {
            asked.push(name);
            await waits;
            return { known: true };
          },
        });
      });
    servers.push(await serverThat('frozen', hangs), await serverThat('well', Promise.resolve()));
    const observer = new Observer(() => servers.map(({ address }) => address), peers, silentLog);
    const weights = new Map([['m', 2]]);
    await observer.tell({ targetId: 't1', number: 1n, paused: true, weights });
    expect(asked).toContain('well');
    endHang();
    await expect.poll(() => [...asked].sort()).toEqual(['frozen', 'well']);
  });
});
