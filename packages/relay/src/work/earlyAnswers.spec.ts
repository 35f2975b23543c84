/** Targets that answer before they have read a long upload, and end the connection under it. */
import type { Socket } from 'node:net';
import type { Route } from '@jasmineroute/configuration';
import { afterEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo } from '../testing/bed.js';
import { ask, stream, text } from '../testing/caller.js';

const UPLOAD = 'x'.repeat(900_000);

const kinds: Record<string, Partial<Route>> = {
  'a request that runs once': { kind: 'once' },
  'a request that may be repeated': { kind: 'idempotent' },
  'a stream': { ...stream, maxAttempts: 1 },
};

/** How a target ends a connection. */
const ends: Record<string, (socket: Socket) => void> = {
  'closes the connection': (socket) => {
    socket.end();
    setTimeout(() => socket.destroy(), 20);
  },
  'resets the connection': (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

const cases = Object.entries(kinds).flatMap(([kind, change]) =>
  Object.entries(ends).map(([how, end]) => ({ kind, change, how, end })),
);

describe('an early answer without a length', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  // Guards against a caller who gets a part of an answer as a whole one.
  it.each(cases)('to $kind is not whole when its target $how under the upload', async ({ change, end }) => {
    bed = await RelayBed.start([routeTo(change)]);
    bed.target(1).atHead = ({ socket, headers }) => {
      const head = `HTTP/1.1 200 OK\r\nt-id: ${String(headers['t-id'])}\r\nt-signed: yes\r\n\r\n`;
      socket.write(head + text(0, 1), () => {
        end(socket);
      });
    };
    const answer = await ask(bed.url, { body: UPLOAD });
    expect(answer.status === 200 && answer.whole).toBe(false);
  });
});
