import type { Socket } from 'node:net';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { entryMetrics } from './metrics.js';
import { FakeGate, accepted, chunk, doneEvent, end, sse } from './testing/fakeGate.js';
import { KEY, chat, modelDocument, startTestEntry, target } from './testing/testEntry.js';
import type { TestEntry } from './testing/testEntry.js';

const CALLERS = 20;

/** Duration of the simulated stall, long enough to be detected as one, milliseconds. */
const STALL_MS = 300;

/** Timeout of each wait, milliseconds. */
const timeout = 20_000;

/** The gate never counts as silent here, so a call that is sent twice is a fault of the entry. */
const settings = { streamSilenceMs: 60_000 };

const BODY = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true });

let gate: FakeGate;
let testEntry: TestEntry;
let callers: Socket[];

beforeEach(async () => {
  gate = new FakeGate();
  gate.script = () => [accepted, sse, chunk(doneEvent), end];
  testEntry = await startTestEntry([modelDocument()], [target('agent-1', await gate.start())], settings);
  callers = await openConnections(new URL(testEntry.url).host, CALLERS);
});

afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await testEntry.close();
  await gate.close();
});

function call(caller: Socket): void {
  const fields = ['host: h', `authorization: Bearer ${KEY}`, 'content-type: application/json'];
  const lines = ['POST /v1/chat/completions HTTP/1.1', ...fields, `content-length: ${BODY.length}`];
  caller.write([...lines, '', BODY].join('\r\n'));
}

/** What a caller has read so far. */
interface ReadAnswer {
  text: string;
}

function read(caller: Socket): ReadAnswer {
  const answer = { text: '' };
  caller.on('data', (bytes: Buffer) => (answer.text += bytes.toString()));
  return answer;
}

const isWhole = ({ text }: ReadAnswer): boolean =>
  text.startsWith('HTTP/1.1 200') && text.endsWith(`${doneEvent}\r\n0\r\n\r\n`);

/** Ids of the requests that reached the gate, read once the entry has finished all calls. */
async function forwardedIds(): Promise<string[]> {
  await expect.poll(() => testEntry.counterValue(entryMetrics.requests), { timeout }).toBe(CALLERS);
  // Uses the same connection to the gate, so all that was sent earlier has arrived when this call is answered.
  const last = await chat(testEntry.url);
  expect(await last.text()).toBe(doneEvent);
  const ids = gate.runs.map(({ requestId }) => requestId);
  return ids.filter((id) => id !== last.headers.get('x-request-id'));
}

// Guards against calls that are forwarded for callers that disconnected while the entry was stalled.
it('forwards no calls of callers that disconnected during a stall', async () => {
  callers.forEach(call);
  blockLoop(STALL_MS);
  for (const caller of callers) caller.destroy();
  expect(await forwardedIds()).toEqual([]);
  expect(gate.cancels).toEqual([]);
});

// Guards against calls that are dropped or sent twice because the entry considers their callers disconnected.
it('serves callers that stayed during a stall', async () => {
  const answers = callers.map(read);
  callers.forEach(call);
  blockLoop(STALL_MS);
  await expect.poll(() => answers.filter(isWhole).length, { timeout }).toBe(CALLERS);
  const ids = await forwardedIds();
  expect(ids).toHaveLength(CALLERS);
  expect(new Set(ids).size).toBe(CALLERS);
});
