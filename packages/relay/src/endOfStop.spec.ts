/** Requests that have no answer when a planned stop ends. */
import { callFromThread, threadTime } from '@jasmineroute/testkit';
import { afterEach, expect, it } from 'vitest';
import { RelayBed, answered, routeTo, until } from './testing/bed.js';

/** Time for a planned stop, milliseconds; what is in progress then is cut by a kill. */
const GRACE_MS = 2_500;

/** Longer than the stop, milliseconds. */
const LONG_MS = 15_000;

const KINDS = [
  ['runs once', { kind: 'once' as const }],
  ['may be repeated', { kind: 'idempotent' as const, maxAttempts: 2 }],
  ['is a stream', { kind: 'stream' as const }],
] as const;

let bed: RelayBed;

const startBed = (route: object): Promise<RelayBed> =>
  RelayBed.start([routeTo({ timeoutMs: LONG_MS, ...route })], 1, {}, {}, { graceMs: GRACE_MS });

const requestOf = (id: string, fields = ''): string =>
  `POST /x HTTP/1.1\r\nhost: a.example\r\nt-id: ${id}\r\n${fields}content-length: 1\r\n\r\nq`;

afterEach(async () => {
  await bed.stop();
});

// Guards against connections that the end of a planned stop cuts without an answer, so that callers can't know whether their
// requests ran.
it.each(KINDS)('a request that %s is answered before a planned stop ends under it', async (_title, kind) => {
  bed = await startBed(kind);
  bed.target(1).script = () => undefined;
  const called = callFromThread({ address: new URL(bed.url).host, requests: [requestOf('q1')] });
  await until(() => bed.arrivalCount() === 1);
  const startedAt = threadTime();
  void bed.drain();
  const [call] = await called;
  expect(call?.answer).toMatch(/^HTTP\/1\.1 502 /);
  expect((call?.answeredAt ?? Infinity) - startedAt).toBeLessThan(GRACE_MS);
});

// Guards against requests that come late in a planned stop, are sent on, and have no answer when it ends.
it.each(KINDS)(
  'a late request that %s, with a deadline within the stop, is answered',
  async (_title, kind) => {
    bed = await startBed(kind);
    const address = new URL(bed.url).host;
    const startedAt = threadTime();
    const drained = bed.drain();
    bed.target(1).script = () => undefined;
    const [call] = await callFromThread({ address, requests: [requestOf('late', 't-deadline: 900\r\n')] });
    expect(call?.answer).toMatch(/^HTTP\/1\.1 50[24] /);
    expect((call?.answeredAt ?? Infinity) - startedAt).toBeLessThan(GRACE_MS);
    await drained;
  },
);

it('a request that is answered within the stop gets the answer of its target', async () => {
  bed = await startBed({});
  bed.target(1).script = (request, response, body) => {
    setTimeout(() => {
      answered()(request, response, body);
    }, 1_000);
  };
  const called = callFromThread({ address: new URL(bed.url).host, requests: [requestOf('q1')] });
  await until(() => bed.arrivalCount() === 1);
  const drained = bed.drain();
  const [call] = await called;
  expect(call?.answer).toMatch(/^HTTP\/1\.1 200 /);
  await drained;
});
