import { silentLog, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen, streamKey } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { reportTaker } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { copySenders } from '../report/index.js';
import { until } from '../testing/bed.js';
import { StreamOrigins } from './streamOrigins.js';

/** Longer than a lookup may take. */
const STALL_MS = 600;

/** A control instance that keeps what it is told. */
interface ControlStandIn {
  readonly server: RpcServer;
  readonly origins: controlMessage.StreamOrigin[];
  /** Number of lookups that it received. */
  lookups: number;
  /** Whether it leaves lookups unanswered. */
  isSilent: boolean;
  /** Time for which the process stands still at the next lookup, milliseconds. */
  stallMs: number;
}

/** Blocks the event loop. */
function standStill(ms: number): void {
  const end = systemClock.monotonic() + ms;
  while (systemClock.monotonic() < end);
}

async function startControl(): Promise<ControlStandIn> {
  const origins: controlMessage.StreamOrigin[] = [];
  const state = { lookups: 0, isSilent: false, stallMs: 0 };
  const server = await listen('127.0.0.1', 0, (router) => {
    router.service(controlMessage.Configurations, {
      report: reportTaker((report) => {
        if (report.case === 'origins') origins.push(...report.value.origins);
      }),
      findOrigins: async ({ streams }, { signal }) => {
        state.lookups += 1;
        standStill(state.stallMs);
        state.stallMs = 0;
        if (state.isSilent) await systemClock.sleep(60_000, signal).catch(() => undefined);
        const known = origins.filter(({ stream }) =>
          streams.some((one) => Buffer.compare(one, stream) === 0),
        );
        return { origins: known };
      },
    });
  });
  return Object.assign(state, { server, origins });
}

describe('the origins of the streams of an entry', () => {
  let controls: ControlStandIn[];
  let peers: Peers;
  let stops: (() => void)[];

  beforeEach(async () => {
    controls = [await startControl(), await startControl(), await startControl()];
    peers = new Peers();
    stops = [];
  });

  afterEach(async () => {
    for (const stop of stops) stop();
    peers.close();
    await Promise.all(controls.map(({ server }) => server.close()));
  });

  const addresses = (): string[] => controls.map(({ server }) => server.address);

  function startOrigins(): StreamOrigins {
    const parts = { controls: addresses, peers, clock: systemClock, log: silentLog };
    const senders = copySenders(parts);
    const origins = new StreamOrigins({ ...parts, senders, allControls: addresses });
    void origins.run();
    stops.push(() => {
      origins.stop();
      for (const sender of senders) sender.close();
    });
    return origins;
  }

  const begin = (origins: StreamOrigins, id: string): void => {
    const fields = { service: 's', softwareVersion: 'v1', lifetimeMs: 5_000 };
    origins.record({ stream: streamKey('', id), ...fields });
  };

  const find = (origins: StreamOrigins, id: string) =>
    origins.find(streamKey('', id), 0, new AbortController().signal);

  const holders = (count: number): number => controls.filter(({ origins }) => origins.length >= count).length;

  // Guards against streams that nobody knows when a control instance is lost together with their entry.
  it('are stored at two control instances, so that one may be lost', async () => {
    begin(startOrigins(), 'q1');
    await until(() => holders(1) === 2);
    const [first] = controls.filter(({ origins }) => origins.length > 0);
    await first?.server.close();
    expect(await find(startOrigins(), 'q1')).toMatchObject({
      by: 'lookup',
      origin: { softwareVersion: 'v1' },
    });
  });

  // Guards against origins that were on their way to a control instance which was lost.
  it('are stored again at another control instance when one is lost', async () => {
    const origins = startOrigins();
    begin(origins, 'q1');
    await until(() => holders(1) === 2);
    const [first] = controls.filter((control) => control.origins.length > 0);
    await first?.server.close();
    controls = controls.filter((control) => control !== first);
    begin(origins, 'q2');
    await until(() => holders(2) === 2);
  });

  // Guards against an entry that waits for a control instance that does not answer, when another one knows the stream.
  it('are found as soon as one control instance knows them', async () => {
    begin(startOrigins(), 'q1');
    await until(() => holders(1) === 2);
    for (const control of controls) control.isSilent = control.origins.length === 0;
    expect(await find(startOrigins(), 'q1')).toMatchObject({
      by: 'lookup',
      origin: { softwareVersion: 'v1' },
    });
    // The answer waits for nobody, so the silent one may not have read its call yet.
    await until(() => controls.every(({ lookups }) => lookups > 0));
    expect(controls.map(({ lookups }) => lookups)).toEqual([1, 1, 1]);
  });

  // Guards against streams that can't go on as a timer runs before the answers that have arrived.
  it('are found although the process stands still while it waits for the answers', async () => {
    begin(startOrigins(), 'q1');
    await until(() => holders(1) === 2);
    for (const control of controls) control.stallMs = STALL_MS;
    expect(await find(startOrigins(), 'q1')).toMatchObject({
      by: 'lookup',
      origin: { softwareVersion: 'v1' },
    });
  });

  // Guards against a caller that waits although nobody can know its stream.
  it('are unknown at once when all control instances answer that they do not know the stream', async () => {
    expect(await find(startOrigins(), 'q9')).toEqual({ by: 'unknown' });
    expect(controls.map(({ lookups }) => lookups)).toEqual([1, 1, 1]);
  });

  // Guards against a stream taken for unknown because a control instance was late.
  it('are looked up again while a control instance does not answer', async () => {
    begin(startOrigins(), 'q1');
    await until(() => holders(1) === 2);
    for (const control of controls) control.isSilent = true;
    const found = find(startOrigins(), 'q1');
    await until(() => controls.every(({ lookups }) => lookups > 0));
    for (const control of controls) control.isSilent = false;
    expect(await found).toMatchObject({ by: 'lookup', origin: { softwareVersion: 'v1' } });
  });
});
