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

  it('calls all control instances, and resolves once one has answered', async () => {
    // Guards against loads of weights that each take 0.8 s longer, and later twice as many targets that load at once, while
    // one control instance is frozen: the begin and the end of a pause each wait for its answer.
    let answer = (): void => undefined;
    const answered = new Promise<void>((resolve) => (answer = resolve));
    const asked: string[] = [];
    const startControl = (name: string, waits: Promise<void>): Promise<RpcServer> =>
      listen('127.0.0.1', 0, (router) => {
        router.service(controlMessage.Configurations, {
          observe: async () => {
            asked.push(name);
            await waits;
            return { known: true };
          },
        });
      });
    servers.push(await startControl('frozen', answered), await startControl('well', Promise.resolve()));
    const observer = new Observer(() => servers.map(({ address }) => address), peers, silentLog);
    const weights = new Map([['m', 2]]);
    await observer.tell({ targetId: 't1', number: 1n, paused: true, weights });
    expect(asked).toContain('well');
    answer();
    await expect.poll(() => [...asked].sort()).toEqual(['frozen', 'well']);
  });
});
