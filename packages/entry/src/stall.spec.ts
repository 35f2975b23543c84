import type { Socket } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import { blockLoop, openConnections } from '@jasmineroute/testkit';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { FakeGate } from './testing/gate.js';
import { KEY, modelDocument, startWorld, target } from './testing/world.js';
import type { World } from './testing/world.js';

const CALLERS = 20;

/** Longer than what counts as a stall, milliseconds. */
const STALL_MS = 300;

/** Time in which a call that is sent on has reached its gate, milliseconds. */
const ARRIVAL_MS = 300;

const BODY = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'hi' }], stream: true });

let gate: FakeGate;
let world: World;

beforeEach(async () => {
  gate = new FakeGate();
  world = await startWorld([modelDocument()], [target('agent-1', await gate.start())]);
});

afterEach(async () => {
  await world.close();
  await gate.close();
});

function call(caller: Socket): void {
  const fields = ['host: h', `authorization: Bearer ${KEY}`, 'content-type: application/json'];
  const lines = ['POST /v1/chat/completions HTTP/1.1', ...fields, `content-length: ${BODY.length}`];
  caller.write([...lines, '', BODY].join('\r\n'));
}

const arrivalsAfterStall = async (meanwhile: (callers: readonly Socket[]) => void): Promise<number> => {
  const callers = await openConnections(new URL(world.url).host, CALLERS);
  callers.forEach(call);
  blockLoop(STALL_MS);
  meanwhile(callers);
  await systemClock.sleep(ARRIVAL_MS);
  for (const caller of callers) caller.destroy();
  return gate.runs.length;
};

// Guards against calls that are sent on for callers that left while the entry stood still.
it('sends nothing on for callers that left during a stall', async () => {
  const leave = (callers: readonly Socket[]): void => {
    for (const caller of callers) caller.destroy();
  };
  expect(await arrivalsAfterStall(leave)).toBe(0);
});

it('serves callers that stayed during a stall', async () => {
  expect(await arrivalsAfterStall(() => undefined)).toBe(CALLERS);
});
