import type { Socket } from 'node:net';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { entryMetrics } from './metrics.js';
import { FakeGate, accepted, chunk, doneEvent, end, sse } from './testing/gate.js';
import { KEY, chat, modelDocument, startTestEntry, target } from './testing/world.js';
import type { TestEntry } from './testing/world.js';

const CALLERS = 20;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

/** Bound of each wait, milliseconds. */
const timeout = 20_000;

/** A gate that answers late stays in use: a call that is sent twice is the entry's fault. */
const settings = { streamSilenceMs: 60_000 };

const BODY = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true });

let gate: FakeGate;
let world: TestEntry;
let callers: Socket[];

beforeEach(async () => {
  gate = new FakeGate();
  gate.script = () => [accepted, sse, chunk(doneEvent), end];
  world = await startTestEntry([modelDocument()], [target('agent-1', await gate.start())], settings);
  callers = await openConnections(new URL(world.url).host, CALLERS);
});

afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await world.close();
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

/** Ids of the requests that the gate got, once the entry is done with all calls. */
async function arrivals(): Promise<string[]> {
  await expect.poll(() => world.counterValue(entryMetrics.requests), { timeout }).toBe(CALLERS);
  // Sent over the same connection to the gate, so what was sent before it has arrived when it is answered.
  const last = await chat(world.url);
  expect(await last.text()).toBe(doneEvent);
  const ids = gate.runs.map(({ requestId }) => requestId);
  return ids.filter((id) => id !== last.headers.get('x-request-id'));
}

// Guards against calls that are sent on for callers that left while the entry stood still.
it('sends nothing on for callers that left during a stall', async () => {
  callers.forEach(call);
  blockLoop(STALL_MS);
  for (const caller of callers) caller.destroy();
  expect(await arrivals()).toEqual([]);
  expect(gate.cancels).toEqual([]);
});

// Guards against calls that are dropped or sent twice as the entry takes their callers for gone.
it('serves callers that stayed during a stall', async () => {
  const answers = callers.map(read);
  callers.forEach(call);
  blockLoop(STALL_MS);
  await expect.poll(() => answers.filter(isWhole).length, { timeout }).toBe(CALLERS);
  const ids = await arrivals();
  expect(ids).toHaveLength(CALLERS);
  expect(new Set(ids).size).toBe(CALLERS);
});
