import { silentLog, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../testing/bed.js';
import { LeaseStub } from '../testing/leaseStub.js';
import { Trials } from './trials.js';
import type { Trial, TrialRequest } from './trials.js';

const trialOf = (request: string, number = 3, needsTurn = true) => ({
  request,
  service: 's',
  number,
  needsTurn,
});

describe('the trials of doubtful requests', () => {
  let control: RpcServer;
  let peers: Peers;
  let leases: LeaseStub;
  let running: Trial[];

  beforeEach(async () => {
    leases = new LeaseStub();
    running = [];
    peers = new Peers();
    control = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Turns, {
        take: (request) => leases.take(request),
        release: (request) => leases.release(request),
      });
    });
  });

  afterEach(async () => {
    for (const trial of running) trial.end(false);
    peers.close();
    await control.close();
  });

  const trialsOf = (name: string): Trials =>
    new Trials({
      name,
      incarnation: 1n,
      controls: () => [control.address],
      peers,
      clock: systemClock,
      log: silentLog,
    });

  async function take(entry: string, request: TrialRequest): Promise<Trial | undefined> {
    const trial = await trialsOf(entry).take([request]);
    if (trial !== undefined) running.push(trial);
    return trial;
  }

  // Guards against a request that each entry tries once.
  it('are granted to one entry each', async () => {
    const first = await take('e1', trialOf('a'));
    first?.end(true);
    await until(() => leases.size === 1);
    expect(first).toBeDefined();
    expect(await take('e2', trialOf('a'))).toBeUndefined();
    expect(await take('e2', trialOf('a', 4))).toBeDefined();
  });

  // Guards against a request that is taken for the cause of the crash under another one's trial.
  it('run one after the other', async () => {
    const first = await take('e1', trialOf('a'));
    expect(await take('e2', trialOf('b'))).toBeUndefined();
    first?.end(true);
    await until(() => leases.size === 1);
    expect(await take('e2', trialOf('b'))).toBeDefined();
  });

  // Guards against ordinary requests that wait for each other for long after targets lost power several times.
  it('run side by side where they need no turn', async () => {
    expect(await take('e1', trialOf('a', 3, false))).toBeDefined();
    expect(await take('e2', trialOf('b', 3, false))).toBeDefined();
  });

  // Guards against an ordinary request that is refused for minutes after its trial ended well.
  it('are granted again when they crashed no target', async () => {
    (await take('e1', trialOf('a')))?.end(false);
    await until(() => leases.size === 0);
    expect(await take('e2', trialOf('a'))).toBeDefined();
  });

  // Guards against an ordinary request that is refused for minutes as control granted its trial too late.
  it('are granted again soon when control granted them too late', async () => {
    leases.grantMs = 1_500;
    expect(await take('e1', trialOf('a', 3, false))).toBeUndefined();
    await systemClock.sleep(leases.grantMs);
    leases.grantMs = 0;
    await systemClock.sleep(4_000);
    expect(await take('e2', trialOf('a', 3, false))).toBeDefined();
  });

  // Guards against two trials at once of one that takes long.
  it('are not granted to another entry while they run', async () => {
    const first = await take('e1', trialOf('a'));
    await systemClock.sleep(4_000);
    expect(await take('e2', trialOf('a', 3, false))).toBeUndefined();
    expect(await take('e2', trialOf('b'))).toBeUndefined();
    first?.end(false);
    await until(() => leases.size === 0);
  });

  // Guards against callers that repeat at once and cost control a command of the log each time.
  it('are asked for once in a while, however often callers come', async () => {
    const trials = trialsOf('e1');
    await Promise.all(Array.from({ length: 20 }, () => trials.take([trialOf('a')])));
    expect(leases.asked).toBe(2);
  });

  // Guards against an entry out of touch with control that runs a trial which another one runs too.
  it('are not granted while control does not answer', async () => {
    await control.close();
    expect(await take('e1', trialOf('a'))).toBeUndefined();
  });
});
