import { once } from 'node:events';
import type { Socket } from 'node:net';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { relayEvents } from './events.js';
import { Bed, routeTo, until } from './testing/bed.js';

const CALLERS = 40;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

/** Bound of each wait, milliseconds. */
const PATIENCE_MS = 20_000;

/** Times that requests are sent until all are sent in one turn of the event loop. */
const MOST_TRIES = 20;

/** Number of a request that is sent after all others. */
const LAST = CALLERS;

function requestText(id: number, extra: Record<string, string>): string {
  const fields = { host: 'a.example', 't-id': `q${id}`, 'content-length': '8', ...extra };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return ['POST /x HTTP/1.1', ...lines, '', 'question'].join('\r\n');
}

function writeRequests(callers: readonly Socket[], extra: Record<string, string> = {}): void {
  for (const [id, caller] of callers.entries()) caller.write(requestText(id, extra));
}

const callersOf = ({ url }: Bed): Promise<Socket[]> => openConnections(new URL(url).host, CALLERS);

/** Sends a later request to host:port and waits for its answer: connections are taken in the order in which they came. */
async function sendLast(address: string): Promise<void> {
  const callers = await openConnections(address, 1);
  for (const caller of callers) {
    caller.write(requestText(LAST, {}));
    await once(caller, 'data');
    caller.destroy();
  }
}

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

  const areTaken = (): Promise<void> => until(() => bed.connections === CALLERS, PATIENCE_MS);

  /** The loop stands still while they leave. @returns ids of their requests that reached a target, before or after. */
  const arrivalsAfterLeaving = async (callers: readonly Socket[]): Promise<unknown[]> => {
    blockLoop(STALL_MS);
    for (const caller of callers) leave[way]?.(caller);
    // What was sent before these two are answered has been read by the entry, and then by the target.
    await sendLast(new URL(bed.url).host);
    await sendLast(bed.target(1).address);
    const ids = bed.target(1).requests.map(({ headers }) => headers['t-id']);
    return ids.filter((id) => id !== `q${LAST}`);
  };

  it('are not served where nothing of them is read before', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  it('are not served on connections that were taken before', async () => {
    bed = await Bed.start([routeTo()]);
    const callers = await callersOf(bed);
    await areTaken();
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  it('are not served where the entry has just learnt of its targets', async () => {
    bed = await Bed.startUntold([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    const waiting = (): number => bed.logged.filter((id) => id === relayEvents.waits.id).length;
    await until(() => waiting() === CALLERS, PATIENCE_MS);
    bed.announce();
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  /** Whether all requests are sent in one turn, and so before a connection to the target is up. */
  const sendTogether = async (callers: readonly Socket[]): Promise<boolean> => {
    const areTogether = new Promise<boolean>((resolve) => {
      let sendings = 0;
      bed.onSending = () => {
        sendings += 1;
        if (sendings === 1) setImmediate(resolve, false);
        if (bed.isCatchingUp) resolve(false);
        if (sendings === CALLERS) resolve(true);
      };
    });
    writeRequests(callers);
    return areTogether;
  };

  it('are not served on connections to targets that come up meanwhile', async () => {
    for (let tries = 1; ; tries += 1) {
      bed = await Bed.start([routeTo()]);
      const callers = await callersOf(bed);
      await areTaken();
      if (await sendTogether(callers)) {
        expect(await arrivalsAfterLeaving(callers)).toEqual([]);
        return;
      }
      expect(tries).toBeLessThan(MOST_TRIES);
      for (const caller of callers) caller.destroy();
      await bed.stop();
    }
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

  // Guards against streams that are cut before their callers give up, as a request counts as older than it is.
  it('get streams whole that end within their time', async () => {
    bed = await Bed.start([routeTo({ kind: 'stream', timeoutMs: 2 * STALL_MS })]);
    bed.target(1).script = (request, response) => {
      response.writeHead(200, {
        't-id': request.headers['t-id'],
        't-signed': 'yes',
        'content-type': 'text/event-stream',
      });
      response.write('id: 1\ndata: a\n\n');
      setTimeout(() => response.end('id: 2\ndata: b\n\n'), STALL_MS + 100);
    };
    const [caller] = await openConnections(new URL(bed.url).host, 1);
    if (caller === undefined) throw new Error('no connection');
    let answer = '';
    caller.on('data', (part: Buffer) => (answer += part.toString()));
    caller.write(requestText(1, { connection: 'close' }));
    blockLoop(STALL_MS + 100);
    await once(caller, 'close');
    expect(answer).toContain('data: b');
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
