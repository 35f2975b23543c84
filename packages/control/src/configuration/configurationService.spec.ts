import { ManualClock, silentLog } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { controlEvents } from '../events.js';
import { LocalLog } from '../fixture/index.js';
import { Proposer } from '../log/index.js';
import { createState } from '../role/index.js';
import { ConfigurationService } from './configurationService.js';

const LIMITS = { inFlight: 1, batch: 8, batchBytes: 10_000, waitingBytes: 100_000, timeoutMs: 1_000 };

describe('configuration service', () => {
  // Guards against a refused read that leaves no log event, so that a lost quorum looks like a late answer.
  it('logs each read, and the reason when it fails', async () => {
    const events: unknown[] = [];
    const log: Log = { event: ({ id }, fields) => events.push({ id, ...fields }), with: () => log };
    const { machine, configuration } = createState();
    const replicas = new LocalLog(machine);
    const proposer = new Proposer(replicas, LIMITS);
    const service = new ConfigurationService(configuration, proposer, new ManualClock(), log);
    expect((await service.read())._unsafeUnwrap()).toBeUndefined();
    const { id: readId } = controlEvents.configurationRead;
    expect(events.splice(0)).toEqual([{ id: readId, number: 0, tookMs: 0 }]);
    replicas.isolate(true);
    expect((await service.read())._unsafeUnwrapErr().kind).toBe('no-quorum');
    const { id } = controlEvents.configurationReadFailed;
    expect(events).toEqual([{ id, kind: 'no-quorum', message: 'isolated', tookMs: 0 }]);
  });

  // Guards against resends of a configuration that fill the log with copies of it while its confirmation is slow.
  it('acknowledges a configuration that is already held without a log entry, also without a quorum', async () => {
    const { machine, configuration } = createState();
    const replicas = new LocalLog(machine);
    const proposer = new Proposer(replicas, LIMITS);
    const service = new ConfigurationService(configuration, proposer, new ManualClock(), silentLog);
    const put = (number: number, source: string) =>
      service.put({ number, routes: [], services: [] }, Buffer.from(source));
    const warnings: string[] = [];
    expect((await put(7, 'first'))._unsafeUnwrap()).toEqual({ number: 7, stored: true, warnings });
    const entries = replicas.entries.length;
    expect((await put(7, 'first'))._unsafeUnwrap()).toEqual({ number: 7, stored: false, warnings });
    replicas.isolate(true);
    expect((await put(5, 'older'))._unsafeUnwrap()).toEqual({ number: 7, stored: false, warnings });
    expect((await put(8, 'newer'))._unsafeUnwrapErr().kind).toBe('no-quorum');
    expect(replicas.entries.length).toBe(entries);
    expect(Buffer.from(configuration.held().source).toString()).toBe('first');
  });

  // Guards against an acknowledged first configuration that is kept nowhere, as its number stands for none.
  it('refuses the number 0 while it holds none', async () => {
    const { machine, configuration } = createState();
    const proposer = new Proposer(new LocalLog(machine), LIMITS);
    const service = new ConfigurationService(configuration, proposer, new ManualClock(), silentLog);
    const put = (number: number) => service.put({ number, routes: [], services: [] }, Buffer.from('x'));
    expect((await put(0))._unsafeUnwrapErr().kind).toBe('invalid-document');
    expect((await put(1)).isOk()).toBe(true);
    expect((await put(0))._unsafeUnwrap()).toMatchObject({ number: 1, stored: false });
  });
});
