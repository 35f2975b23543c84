import { once } from 'node:events';
import type { Socket } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { Bed, routeTo } from './testing/bed.js';

const CALLERS = 40;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

/** Time in which a request that is sent on has reached its target, milliseconds. */
const ARRIVAL_MS = 300;

function requestText(id: number, extra: Record<string, string>): string {
  const fields = { host: 'a.example', 't-id': `q${id}`, 'content-length': '8', ...extra };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return ['POST /x HTTP/1.1', ...lines, '', 'question'].join('\r\n');
}

function writeRequests(callers: readonly Socket[], extra: Record<string, string> = {}): void {
  for (const [id, caller] of callers.entries()) caller.write(requestText(id, extra));
}

const callersOf = ({ url }: Bed): Promise<Socket[]> => openConnections(new URL(url).host, CALLERS);

const leave: Record<string, (caller: Socket) => void> = {
  close: (caller) => caller.destroy(),
  reset: (caller) => caller.resetAndDestroy(),
};

// Guards against requests that are sent on for callers that left while the entry stood still.
describe.each(Object.keys(leave))('callers that %s while the event loop stands still', (way) => {
  let bed: Bed;

  afterEach(async () => {
    await bed.stop();
  });

  /** The loop stands still while they leave. @returns how many requests reach a target from then on. */
  const arrivalsAfterLeaving = async (callers: readonly Socket[]): Promise<number> => {
    const before = bed.arrivals();
    blockLoop(STALL_MS);
    for (const caller of callers) leave[way]?.(caller);
    await systemClock.sleep(ARRIVAL_MS);
    return bed.arrivals() - before;
  };

  it('are not served where nothing of them is read before', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toBe(0);
  });

  it('are not served on connections that were taken before', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    await systemClock.sleep(50);
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toBe(0);
  });

  it('are not served where the entry has just learnt of its targets', async () => {
    bed = await Bed.startUntold([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    await systemClock.sleep(100);
    bed.announce();
    expect(await arrivalsAfterLeaving(callers)).toBe(0);
  });

  it('are not served on connections to targets that come up meanwhile', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    const areSent = new Promise<void>((resolve) => {
      let sendings = 0;
      bed.onSending = () => {
        sendings += 1;
        if (sendings === CALLERS) resolve();
      };
    });
    writeRequests(callers);
    await areSent;
    expect(await arrivalsAfterLeaving(callers)).toBe(0);
  });
});

describe('callers that stay while the event loop stands still', () => {
  let bed: Bed;

  afterEach(async () => {
    await bed.stop();
  });

  it('are served', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    blockLoop(STALL_MS);
    const answers = await Promise.all(callers.map((caller) => once(caller, 'data')));
    expect(answers.filter((answer) => String(answer[0]).startsWith('HTTP/1.1 200'))).toHaveLength(CALLERS);
  });

  // Guards against targets that are told of more time than is left, as a request counts as new when it is read.
  it('have no more time left than their targets are told of', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers, { 't-deadline': '2000' });
    blockLoop(STALL_MS);
    await Promise.all(callers.map((caller) => once(caller, 'data')));
    const told = bed.target(1).requests.map(({ headers }) => Number(headers['t-deadline']));
    expect(Math.max(...told)).toBeLessThanOrEqual(2_000 - STALL_MS);
  });
});
