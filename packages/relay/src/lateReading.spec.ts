/** Callers whose connections wait to be accepted: each turn of the event loop is long, and none is a stall. */
import { callFromThread, slowTurns, threadTime } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RelayBed, routeTo, until } from './testing/bed.js';

const CALLERS = 40;

/** Shorter than what counts as a stall, milliseconds. */
const TURN_MS = 45;

/** Timeout of the route, milliseconds. */
const TIMEOUT_MS = 1_000;

/** Time within which a request of a caller that has left may still be sent, milliseconds. */
const LATE_MS = 500;

/** Timeout of each wait, milliseconds. */
const WAIT_TIMEOUT_MS = 20_000;

const requestOf = (id: number): string =>
  `POST /x HTTP/1.1\r\nhost: a.example\r\nt-id: q${id}\r\nconnection: close\r\ncontent-length: 1\r\n\r\nq`;

const REQUESTS = Array.from({ length: CALLERS }, (_, id) => requestOf(id));

describe('callers whose connections wait to be accepted', () => {
  let bed: RelayBed;
  let endSlowness: () => void = () => undefined;

  beforeEach(async () => {
    bed = await RelayBed.start([routeTo({ timeoutMs: TIMEOUT_MS })]);
  });

  afterEach(async () => {
    endSlowness();
    await bed.stop();
  });

  // Guards against requests that are sent for callers who left while their connections waited to be accepted.
  it('are not served after they have left', async () => {
    const sentAt = new Map<string, number>();
    bed.onSend = (id) => sentAt.set(id, threadTime());
    endSlowness = slowTurns(TURN_MS);
    const { host: address } = new URL(bed.url);
    const calls = await callFromThread({ address, requests: REQUESTS, leaveAfterMs: 300 });
    await until(() => bed.connections === CALLERS && bed.open === 0, WAIT_TIMEOUT_MS);
    const late = calls.filter(({ closedAt }, id) => (sentAt.get(`q${id}`) ?? 0) > closedAt + LATE_MS);
    expect(late).toHaveLength(0);
  });

  // Guards against requests that are held for the whole timeout of their route after they have waited for longer unread.
  it('are answered at once when the timeout of their route has passed', async () => {
    bed.target(1).script = () => undefined;
    endSlowness = slowTurns(TURN_MS);
    const { host: address } = new URL(bed.url);
    const calls = await callFromThread({ address, requests: REQUESTS });
    const { acceptedAt } = bed;
    const acceptedLate = calls.filter(({ sentAt }, id) => (acceptedAt[id] ?? Infinity) - sentAt > TIMEOUT_MS);
    const heldMs = acceptedLate.map(({ answeredAt = Infinity }, id) => {
      return answeredAt - (acceptedAt[CALLERS - acceptedLate.length + id] ?? Infinity);
    });
    expect(heldMs.length).toBeGreaterThan(CALLERS / 4);
    expect(Math.max(...heldMs)).toBeLessThan(LATE_MS);
  });

  it('are served while they stay', async () => {
    endSlowness = slowTurns(1);
    const { host: address } = new URL(bed.url);
    const calls = await callFromThread({ address, requests: REQUESTS });
    expect(calls.filter(({ answer }) => answer.startsWith('HTTP/1.1 200'))).toHaveLength(CALLERS);
  });
});
