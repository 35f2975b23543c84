/** Requests that are sent together on one connection: the time of those behind another. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { FakeGate, accepted, chunk, doneEvent, end, sse } from '../testing/fakeGate.js';
import { KEY, modelDocument, startTestEntry, target, waitUntil } from '../testing/testEntry.js';
import type { TestEntry } from '../testing/testEntry.js';

/** Duration of the answer in front, milliseconds. */
const FRONT_MS = 600;

const BODY = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true });

const requestOf = (id: string, fields = ''): string =>
  `POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${KEY}\r\nx-request-id: ${id}\r\n` +
  `content-type: application/json\r\n${fields}content-length: ${BODY.length}\r\n\r\n${BODY}`;

describe('a request behind another on its connection', () => {
  const gate = new FakeGate();
  let testEntry: TestEntry;
  let caller: Socket;
  let received = '';

  afterEach(async () => {
    caller.destroy();
    await testEntry.close();
    await gate.close();
  });

  async function send(deadlineMs: number): Promise<void> {
    const wait = { case: 'pause', ms: FRONT_MS } as const;
    gate.runs.length = 0;
    gate.script = ({ requestId }) =>
      requestId === 'front'
        ? [accepted, sse, wait, chunk(doneEvent), end]
        : [accepted, sse, chunk(doneEvent), end];
    testEntry = await startTestEntry([modelDocument()], [target('agent', await gate.start())]);
    const { hostname, port } = new URL(testEntry.url);
    received = '';
    caller = connect(Number(port), hostname);
    caller.on('data', (bytes) => (received += bytes.toString()));
    caller.write(requestOf('front') + requestOf('behind', `x-request-deadline-ms: ${deadlineMs}\r\n`));
    await waitUntil(() => received.match(/HTTP\/1.1 /g)?.length === 2);
  }

  // Guards against an answer past the time that a caller gave, and work for it: the time of a request that waits passes.
  it('is refused as not run when its time passes while it waits', async () => {
    await send(FRONT_MS / 2);
    await waitUntil(() => received.includes('"run"'));
    expect(received).toMatch(
      /HTTP\/1.1 200 [^]*HTTP\/1.1 504 [^]*x-run-state: not-run[^]*deadline-exceeded/i,
    );
    expect(gate.runs.map(({ requestId }) => requestId)).toEqual(['front']);
  });

  // Guards against a target that is told of more time than the caller still waits.
  it('has the time that is left when its turn comes', async () => {
    const DEADLINE_MS = 20_000;
    await send(DEADLINE_MS);
    const [, behind] = gate.runs;
    expect(behind?.requestId).toBe('behind');
    expect(Number(behind?.deadlineMs)).toBeLessThanOrEqual(DEADLINE_MS - FRONT_MS + 50);
    expect(Number(behind?.deadlineMs)).toBeGreaterThan(0);
  });
});
