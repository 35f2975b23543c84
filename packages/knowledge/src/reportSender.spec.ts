import { create } from '@bufbuild/protobuf';
import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { reportTaker, waitFor } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { knowledgeEvents } from './events.js';
import { ReportSender } from './reportSender.js';

const { reportsEnded, controlUnreachable: notTold } = knowledgeEvents;

describe('reports over one stream', () => {
  const clock = new ManualClock();
  let peers: Peers;
  /** Ids of the events that were logged. */
  let logged: number[];
  /** Loads that the control instances received, by their place in the order. */
  let taken: number[][];
  let servers: RpcServer[];
  let sender: ReportSender;

  /** Starts a control instance that receives loads. */
  const start = (at: number, port = 0): Promise<RpcServer> =>
    listen('127.0.0.1', port, (router) => {
      router.service(controlMessage.Configurations, {
        report: reportTaker((report) => {
          if (report.case === 'load') taken[at]?.push(report.value.running);
        }),
      });
    });

  /** Starts one that accepts the stream, sends one heartbeat and then nothing more, as when it is frozen. */
  const startFrozen = (): Promise<RpcServer> =>
    listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Configurations, {
        async *report(_requests, { signal }) {
          yield {};
          await new Promise((resolve) => {
            signal.addEventListener('abort', resolve, { once: true });
          });
        },
      });
    });

  const log: Log = {
    event: ({ id }) => {
      logged.push(id);
    },
    with: () => log,
  };

  const createSender = (): ReportSender =>
    new ReportSender({
      controls: () => servers.map(({ address }) => address),
      peers,
      clock,
      log,
    });

  const send = async (running: number): Promise<string | undefined> => {
    const value = create(controlMessage.TargetLoadSchema, { targetId: 't', running });
    return (await sender.send(() => ({ case: 'load', value })))?.address;
  };

  const addressOf = (at: number): string => servers[at]?.address ?? '';

  beforeEach(() => {
    peers = new Peers();
    logged = [];
    taken = [[], []];
  });

  afterEach(async () => {
    sender.close();
    peers.close();
    await Promise.all(servers.map((server) => server.close()));
  });

  /** Stops an instance and waits until the sender has noticed. */
  async function stopInstance(at: number): Promise<void> {
    await servers[at]?.close();
    await waitFor('the end of the stream', () => logged.includes(reportsEnded.id));
  }

  async function restart(at: number): Promise<void> {
    servers[at] = await start(at, Number(addressOf(at).split(':')[1]));
    await clock.advance(2_000);
  }

  it('arrive in order at the first instance', async () => {
    servers = await Promise.all([start(0), start(1)]);
    sender = createSender();
    await Promise.all([1, 2, 3, 4, 5].map(send));
    await waitFor('all five', () => taken[0]?.length === 5);
    expect(taken).toEqual([[1, 2, 3, 4, 5], []]);
  });

  it('go to the next instance when the first one stops, and back to it after its restart', async () => {
    servers = await Promise.all([start(0), start(1)]);
    sender = createSender();
    expect(await send(1)).toBe(addressOf(0));
    await waitFor('the first', () => taken[0]?.includes(1) === true);
    await stopInstance(0);
    expect(await send(2)).toBe(addressOf(1));
    expect(logged).toEqual([reportsEnded.id, notTold.id]);
    await waitFor('the second', () => taken[1]?.includes(2) === true);
    await restart(0);
    expect(await send(3)).toBe(addressOf(0));
    await waitFor('the third', () => taken[0]?.includes(3) === true);
    expect(taken).toEqual([[1, 3], [2]]);
  });

  it('move when another instance comes first in the order', async () => {
    // Guards against one control instance that relays the reports of all targets late: all streams are opened to it while few
    // entries are known, and stay there when more entries start.
    servers = await Promise.all([start(0), start(1)]);
    sender = createSender();
    expect(await send(1)).toBe(addressOf(0));
    servers.reverse();
    expect(await send(2)).toBe(addressOf(0));
    await waitFor('both', () => taken[0]?.length === 1 && taken[1]?.length === 1);
    expect(taken).toEqual([[1], [2]]);
  });

  it('go to another instance when one keeps the connection open without heartbeats', async () => {
    // Guards against reports that are lost for as long as a control instance is frozen: its connection stays open, and a
    // single report is not acknowledged, so each seems sent.
    servers = await Promise.all([startFrozen(), start(1)]);
    sender = createSender();
    expect(await send(1)).toBe(addressOf(0));
    const connection = peers.transport(addressOf(0));
    await clock.advance(1_300);
    await waitFor('the end of the stream', () => logged.includes(reportsEnded.id));
    // Other streams on the connection go on.
    expect(peers.transport(addressOf(0))).toBe(connection);
    // It sends one heartbeat on each new stream: the next one is aborted in the same way.
    servers.reverse();
    expect(await send(2)).toBe(addressOf(0));
    await waitFor('the second', () => taken[1]?.includes(2) === true);
  });

  it('are dropped once the sender is closed', async () => {
    servers = [await start(0)];
    sender = createSender();
    expect(await send(1)).toBe(addressOf(0));
    sender.close();
    expect(await send(2)).toBeUndefined();
  });

  it('are dropped while no instance is up', async () => {
    servers = [await start(0)];
    await servers[0]?.close();
    sender = createSender();
    expect(await send(1)).toBeUndefined();
    expect(logged).toEqual([notTold.id]);
  });
});
