import { connect } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import { afterEach, describe, expect, it } from 'vitest';
import { MAX_HELD_ANSWER_BYTES } from '../answer/index.js';
import { RelayBed, answered, routeTo, until } from '../testing/bed.js';
import type { Script } from '../testing/bed.js';
import { ask } from '../testing/caller.js';

/** Time in which the request is answered although a target never ends, milliseconds. */
const SOON_MS = 1_500;

/** What fits into buffers of sockets and of the relay between a target and a caller that does not read, bytes. */
const MOST_ON_THE_WAY_BYTES = 16 * 1024 * 1024;

const block = Buffer.alloc(64 * 1024, 'x');

/** Sends a body without end. */
const endless =
  (status: number, onWritten: (bytes: number) => void = () => undefined): Script =>
  (request, response) => {
    response.writeHead(status, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
    const write = (): void => {
      if (response.destroyed) return;
      onWritten(block.length);
      if (response.write(block)) setImmediate(write);
      else response.once('drain', write);
    };
    write();
  };

describe('an answer larger than what is held', () => {
  let bed: RelayBed;

  afterEach(async () => {
    await bed.stop();
  });

  /** The target that gets the first request runs `first`; the other one answers. */
  const scriptFirst = (first: Script): void => {
    for (const target of bed.targets)
      target.script = (...exchange) => {
        (bed.arrivalCount() === 1 ? first : answered())(...exchange);
      };
  };

  // Guards against an entry that is ended for its memory: a target in trouble sends a failure without end.
  it('is given up when it is a failure, and the request is sent on', async () => {
    bed = await RelayBed.start([routeTo({ kind: 'idempotent', maxAttempts: 2 })], 2);
    scriptFirst(endless(500));
    const begunAt = performance.now();
    expect((await ask(bed.url)).status).toBe(200);
    expect(performance.now() - begunAt).toBeLessThan(SOON_MS);
  });

  it('is told as a failure that has run when it is one of a request that runs once', async () => {
    bed = await RelayBed.start([routeTo()], 2);
    scriptFirst(endless(500));
    expect((await ask(bed.url)).status).toBe(502);
    expect(bed.arrivalCount()).toBe(1);
  });

  // Guards against an entry that is ended for its memory: a body has no length, and is held until it ends.
  it('reaches the caller as it comes, whole', async () => {
    bed = await RelayBed.start([routeTo()]);
    let finish = (): void => undefined;
    bed.target(1).script = (request, response) => {
      response.writeHead(200, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
      response.write(Buffer.alloc(2 * MAX_HELD_ANSWER_BYTES, 'x'));
      finish = () => response.end('end');
    };
    let received = 0;
    const answer = ask(bed.url, { onData: (part) => (received = part.length) });
    await until(() => received > MAX_HELD_ANSWER_BYTES);
    finish();
    const { status, body, whole } = await answer;
    expect({ status, whole, length: body.length }).toEqual({
      status: 200,
      whole: true,
      length: 2 * MAX_HELD_ANSWER_BYTES + 3,
    });
  });

  it('is read no faster than its caller reads', async () => {
    bed = await RelayBed.start([routeTo()]);
    let written = 0;
    bed.target(1).script = endless(200, (bytes) => (written += bytes));
    const { hostname, port } = new URL(bed.url);
    const caller = connect(Number(port), hostname);
    caller.pause();
    caller.write('POST / HTTP/1.1\r\nhost: a.example\r\nt-id: q1\r\ncontent-length: 0\r\n\r\n');
    let before = -1;
    while (before !== written || written === 0) {
      before = written;
      await systemClock.sleep(200);
    }
    expect(written).toBeLessThan(MOST_ON_THE_WAY_BYTES);
    caller.destroy();
  });

  // Guards against a caller who waits for the rest of an answer, as another attempt counted as its answer.
  it('breaks off for the caller when its target breaks it off', async () => {
    bed = await RelayBed.start([routeTo({ kind: 'idempotent', maxAttempts: 2 })], 2);
    let received = 0;
    scriptFirst((request, response) => {
      response.writeHead(200, { 't-id': request.headers['t-id'], 't-signed': 'yes' });
      response.write(Buffer.alloc(2 * MAX_HELD_ANSWER_BYTES, 'x'));
      void until(() => received > MAX_HELD_ANSWER_BYTES).then(() => response.destroy());
    });
    const answer = await ask(bed.url, { onData: (part) => (received = part.length) });
    expect(answer.whole).toBe(false);
    expect(bed.arrivalCount()).toBe(1);
  });
});
