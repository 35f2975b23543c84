import { once } from 'node:events';
import type { Socket } from 'node:net';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, describe, expect, it } from 'vitest';
import { relayEvents } from './events.js';
import { RelayBed, routeTo, until } from './testing/bed.js';

const CALLERS = 40;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

/** Timeout of each wait, milliseconds. */
const WAIT_TIMEOUT_MS = 20_000;

/** Maximum number of tries until all requests are sent in one turn of the event loop. */
const MAX_TRIES = 20;

/** Id of a request that is sent after all others. */
const LAST_ID = CALLERS;

function requestText(id: number, extra: Record<string, string>): string {
  const fields = { host: 'a.example', 't-id': `q${id}`, 'content-length': '8', ...extra };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return ['POST /x HTTP/1.1', ...lines, '', 'question'].join('\r\n');
}

function writeRequests(callers: readonly Socket[], extra: Record<string, string> = {}): void {
  for (const [id, caller] of callers.entries()) caller.write(requestText(id, extra));
}

const callersOf = ({ url }: RelayBed): Promise<Socket[]> => openConnections(new URL(url).host, CALLERS);

/**
 * Sends a later request to host:port and waits for its answer. Connections are accepted in the order in which they
 * arrive.
 */
async function sendLast(address: string): Promise<void> {
  const callers = await openConnections(address, 1);
  for (const caller of callers) {
    caller.write(requestText(LAST_ID, {}));
    await once(caller, 'data');
    caller.destroy();
  }
}

const leave: Record<string, (caller: Socket) => void> = {
  close: (caller) => caller.destroy(),
  reset: (caller) => caller.resetAndDestroy(),
};

// Guards against forwarding requests of callers that left during an event loop stall.
describe.each(Object.keys(leave))('callers that %s while the event loop is blocked', (way) => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  const allAccepted = (): Promise<void> => until(() => bed.connections === CALLERS, WAIT_TIMEOUT_MS);

  /**
   * Blocks the event loop while the callers leave. @returns ids of their requests that reached a target, before or
   * after.
   */
  const arrivalsAfterLeaving = async (callers: readonly Socket[]): Promise<unknown[]> => {
    blockLoop(STALL_MS);
    for (const caller of callers) leave[way]?.(caller);
    // Everything sent before the answers to these two requests has been read by the entry and then by the target.
    await sendLast(new URL(bed.url).host);
    await sendLast(bed.target(1).address);
    const ids = bed.target(1).requests.map(({ headers }) => headers['t-id']);
    return ids.filter((id) => id !== `q${LAST_ID}`);
  };

  it('are not served when nothing was read from them before', async () => {
    bed = await RelayBed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  it('are not served on connections that were accepted before', async () => {
    bed = await RelayBed.start([routeTo()]);
    const callers = await callersOf(bed);
    await allAccepted();
    writeRequests(callers);
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  it('are not served when the entry has just received its targets', async () => {
    bed = await RelayBed.startUnannounced([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    const waiting = (): number => bed.logged.filter((id) => id === relayEvents.waiting.id).length;
    await until(() => waiting() === CALLERS, WAIT_TIMEOUT_MS);
    bed.announce();
    expect(await arrivalsAfterLeaving(callers)).toEqual([]);
  });

  /** Whether all requests are sent in one turn, and therefore before a connection to the target is established. */
  const sendInOneTurn = async (callers: readonly Socket[]): Promise<boolean> => {
    const isOneTurn = new Promise<boolean>((resolve) => {
      let sends = 0;
      bed.onSend = () => {
        sends += 1;
        if (sends === 1) setImmediate(resolve, false);
        if (bed.isCatchingUp) resolve(false);
        if (sends === callers.length) resolve(true);
      };
    });
    writeRequests(callers);
    return isOneTurn;
  };

  it('are not served on connections to targets that are established meanwhile', async () => {
    for (let tries = 1; ; tries += 1) {
      bed = await RelayBed.start([routeTo()]);
      bed.handleAtOnce();
      const callers = await callersOf(bed);
      await allAccepted();
      if (await sendInOneTurn(callers)) {
        expect(await arrivalsAfterLeaving(callers)).toEqual([]);
        return;
      }
      expect(tries).toBeLessThan(MAX_TRIES);
      for (const caller of callers) caller.destroy();
      await bed.stop();
    }
  });
});

describe('callers that stay while the event loop is blocked', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  it('are served', async () => {
    bed = await RelayBed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers);
    blockLoop(STALL_MS);
    const answers = await Promise.all(callers.map((caller) => once(caller, 'data')));
    expect(answers.filter((answer) => String(answer[0]).startsWith('HTTP/1.1 200'))).toHaveLength(CALLERS);
  });

  // Guards against cutting off streams before their timeout, which happens when a request counts as older than it is.
  it('get complete streams that end within their timeout', async () => {
    bed = await RelayBed.start([routeTo({ kind: 'stream', timeoutMs: 2 * STALL_MS })]);
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

  // Guards against deadlines for targets that exceed the caller's remaining time, which happens when a request counts
  // as new when it is read.
  it('send their targets no deadline beyond their remaining time', async () => {
    bed = await RelayBed.start([routeTo()]);
    const callers = await callersOf(bed);
    writeRequests(callers, { 't-deadline': '2000' });
    blockLoop(STALL_MS);
    await Promise.all(callers.map((caller) => once(caller, 'data')));
    const sentDeadlines = bed.target(1).requests.map(({ headers }) => Number(headers['t-deadline']));
    expect(Math.max(...sentDeadlines)).toBeLessThanOrEqual(2_000 - STALL_MS);
  });
});
