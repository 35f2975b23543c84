import { silentLog, systemClock } from '@jasmineroute/core';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { until } from '../testing/bed.js';
import { Trials } from './trials.js';

const trialOf = (request: string, number = 3, needsTurn = true) => ({
  request,
  service: 's',
  number,
  needsTurn,
});

describe('the trials of doubtful requests', () => {
  let control: RpcServer;
  let peers: Peers;
  /** Holders by the names of leases. */
  let leases: Map<string, string>;
  let asked: number;

  beforeEach(async () => {
    leases = new Map();
    asked = 0;
    peers = new Peers();
    control = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Turns, {
        take: ({ name, holder }) => {
          asked += 1;
          const granted = !leases.has(name) || leases.get(name) === holder;
          if (granted) leases.set(name, holder);
          return { granted, fence: 1n };
        },
        release: ({ name, holder }) => {
          if (leases.get(name) === holder) leases.delete(name);
          return {};
        },
      });
    });
  });

  afterEach(async () => {
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

  // Guards against a request that each entry tries once.
  it('are granted to one entry each', async () => {
    const first = await trialsOf('e1').take(trialOf('a'));
    first?.end(true);
    await until(() => leases.size === 1);
    expect(first).toBeDefined();
    expect(await trialsOf('e2').take(trialOf('a'))).toBeUndefined();
    expect(await trialsOf('e2').take(trialOf('a', 4))).toBeDefined();
  });

  // Guards against a request that is taken for the cause of the crash under another one's trial.
  it('run one after the other', async () => {
    const first = await trialsOf('e1').take(trialOf('a'));
    expect(await trialsOf('e2').take(trialOf('b'))).toBeUndefined();
    first?.end(true);
    await until(() => leases.size === 1);
    expect(await trialsOf('e2').take(trialOf('b'))).toBeDefined();
  });

  // Guards against ordinary requests that wait for each other for long after targets lost power several times.
  it('run side by side where they need no turn', async () => {
    expect(await trialsOf('e1').take(trialOf('a', 3, false))).toBeDefined();
    expect(await trialsOf('e2').take(trialOf('b', 3, false))).toBeDefined();
  });

  it('are granted again when they did not run', async () => {
    (await trialsOf('e1').take(trialOf('a')))?.end(false);
    await until(() => leases.size === 0);
    expect(await trialsOf('e2').take(trialOf('a'))).toBeDefined();
  });

  // Guards against callers that repeat at once and cost control a command of the log each time.
  it('are asked for once in a while, however often callers come', async () => {
    const trials = trialsOf('e1');
    await Promise.all(Array.from({ length: 20 }, () => trials.take(trialOf('a'))));
    expect(asked).toBe(2);
  });

  // Guards against an entry out of touch with control that runs a trial which another one runs too.
  it('are not granted while control does not answer', async () => {
    await control.close();
    expect(await trialsOf('e1').take(trialOf('a'))).toBeUndefined();
  });
});
