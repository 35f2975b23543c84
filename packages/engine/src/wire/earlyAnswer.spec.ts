/** Answers that end their connection while the request is still being written. */
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { RawTargets, headOf } from '../testing/rawTarget.js';

const UPLOAD = Buffer.alloc(900_000, 'x');

/** More than the system takes of a connection that nobody reads. */
const LONG_UPLOAD = Buffer.alloc(64 * 1024 * 1024, 'x');

const HEAD_END = '\r\n\r\n';
const PART = 'a part of the answer';

/** Times between the part of an answer and the end of its connection, milliseconds. */
const GAPS_MS = [0, 1, 20, 60];

const targets = new RawTargets();

afterEach(() => {
  targets.close();
});

/** How a target ends a connection. */
const ends: Record<string, (socket: Socket, gapMs: number) => void> = {
  'closes it': (socket, gapMs) => {
    setTimeout(() => socket.destroy(), gapMs);
  },
  'ends its side and closes it': (socket, gapMs) => {
    socket.end();
    setTimeout(() => socket.destroy(), gapMs);
  },
};

const cases = Object.entries(ends).flatMap(([how, end]) =>
  ['without', 'with'].flatMap((closing) =>
    GAPS_MS.map((gapMs) => {
      const head = headOf('200 OK', closing === 'with' ? 'connection: close\r\n' : '');
      return { how, end, closing, head, gapMs };
    }),
  ),
);

describe('an answer without a length', () => {
  // Guards against a part of an answer that is taken for a whole one, as its connection ended under the upload.
  it.each(cases)(
    'is not whole when its target $how in $gapMs ms, has read a part of the request, and answers $closing a close',
    async ({ end, head, gapMs }) => {
      const place = await targets.serve((socket) => {
        let unread = UPLOAD.length / 2;
        socket.on('data', (bytes: Buffer) => {
          const before = unread;
          unread -= bytes.length;
          if (unread > 0 || before <= 0) return;
          socket.pause();
          socket.write(head + PART, () => {
            end(socket, gapMs);
          });
        });
      });
      expect((await targets.ask(place, UPLOAD)).isErr()).toBe(true);
    },
  );

  // Guards against the same where the request is not written yet when the connection ends.
  it('is not whole when its connection ends before the request is written', async () => {
    const place = await targets.serve((socket) => {
      socket.once('data', () => {
        socket.pause();
        socket.end(headOf('200 OK') + PART);
      });
    });
    expect((await targets.ask(place, LONG_UPLOAD)).isErr()).toBe(true);
  });

  // Guards against answers that are given up although their target has read the request.
  it.each(Object.entries(ends))(
    'is whole when its target %s after it has read the request',
    async (_how, end) => {
      const place = await targets.serve((socket) => {
        let text = '';
        socket.on('data', (bytes: Buffer) => {
          text += bytes.toString('latin1');
          const head = text.indexOf(HEAD_END);
          if (head < 0 || text.length < head + HEAD_END.length + UPLOAD.length) return;
          socket.write(headOf('200 OK') + PART, () => {
            end(socket, 0);
          });
        });
      });
      expect((await targets.ask(place, UPLOAD))._unsafeUnwrap()).toBe(PART);
    },
  );

  // Guards against the same where the answer begins before the request is read.
  it('is whole when it begins early, and ends after its target has read the request', async () => {
    const place = await targets.serve((socket) => {
      let received = 0;
      socket.on('data', (bytes: Buffer) => {
        if (received === 0) socket.write(headOf('200 OK') + PART);
        received += bytes.length;
        if (received > UPLOAD.length) socket.end();
      });
    });
    expect((await targets.ask(place, UPLOAD))._unsafeUnwrap()).toBe(PART);
  });
});
