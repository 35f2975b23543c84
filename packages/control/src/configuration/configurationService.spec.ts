import { ManualClock } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { controlEvents } from '../events.js';
import { LocalLog } from '../fixture/index.js';
import { Proposer } from '../log/index.js';
import { createState } from '../role/index.js';
import { ConfigurationService } from './configurationService.js';

const LIMITS = { inFlight: 1, batch: 8, batchBytes: 10_000, waitingBytes: 100_000, timeoutMs: 1_000 };

describe('what operators do with configurations', () => {
  // Guards against a read that is refused without a trace, so that a lost quorum can't be told from a late answer.
  it('logs each read, and why one was not answered', async () => {
    const told: unknown[] = [];
    const log: Log = { event: ({ id }, fields) => told.push({ id, ...fields }), with: () => log };
    const { machine } = createState();
    const replicas = new LocalLog(machine);
    const service = new ConfigurationService(new Proposer(replicas, LIMITS), new ManualClock(), log);
    expect((await service.read())._unsafeUnwrap()).toBeUndefined();
    const { id: readId } = controlEvents.configurationRead;
    expect(told.splice(0)).toEqual([{ id: readId, number: 0, tookMs: 0 }]);
    replicas.isolate(true);
    expect((await service.read())._unsafeUnwrapErr().kind).toBe('no-quorum');
    const { id } = controlEvents.configurationUnread;
    expect(told).toEqual([{ id, kind: 'no-quorum', message: 'isolated', tookMs: 0 }]);
  });
});
