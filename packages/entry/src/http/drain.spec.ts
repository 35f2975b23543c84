import { Agent, request } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { FakeGate, accepted, chunk, delta, doneEvent, end, head, sse } from '../testing/gate.js';
import type { ScriptStep } from '../testing/gate.js';
import { KEY, chat, modelDocument, startTestEntry, target, waitUntil } from '../testing/world.js';
import type { TestEntry } from '../testing/world.js';

const gates: FakeGate[] = [];
let world: TestEntry | undefined;

async function start(
  script: () => ScriptStep[],
  settings: object = {},
): Promise<TestEntry & { gate: FakeGate }> {
  const gate = new FakeGate();
  await gate.start();
  gates.push(gate);
  gate.script = script;
  world = await startTestEntry([modelDocument()], [target('agent', gate.address)], settings);
  return { ...world, gate };
}

function createLatch(): { readonly step: ScriptStep; readonly open: () => void } {
  let open: () => void = () => undefined;
  const promise = new Promise<void>((resolve) => {
    open = resolve;
  });
  return {
    step: { case: 'wait', for: promise },
    open: () => {
      open();
    },
  };
}

afterEach(async () => {
  await world?.close();
  await Promise.all(gates.splice(0).map((one) => one.close()));
});

describe('a planned stop', () => {
  it('is unready first, goes on accepting, and finishes every stream', async () => {
    // Symptom: a rolling restart cuts requests.
    // Sequence: the process is told to stop while a stream runs and the balancer still sends new requests.
    // Cause: a listener that closes before the balancer has noticed refuses what is on its way.
    const latch = createLatch();
    const { url, entry, directory } = await start(
      () => [accepted, sse, chunk(delta('a')), latch.step, chunk(doneEvent), end],
      { drainDelayMs: 300 },
    );
    const running = await chat(url);
    const began = performance.now();
    const drained = entry.drain();
    expect((await fetch(`${url}/readyz`)).status).toBe(503);
    expect((await fetch(`${url}/healthz`)).status).toBe(200);
    const late = await chat(url);
    expect(late.headers.get('connection')).toBe('close');
    await waitUntil(() => directory.left);
    expect(performance.now() - began).toBeGreaterThanOrEqual(300);
    latch.open();
    expect(await running.text()).toBe(delta('a') + doneEvent);
    expect(await late.text()).toBe(delta('a') + doneEvent);
    await drained;
    await expect(fetch(`${url}/healthz`)).rejects.toThrow();
  });

  it('does not wait for a connection whose stream began before it', async () => {
    // Symptom: a planned stop takes as long as idle connections are held.
    // Sequence: a stream begins, the stop begins, the stream ends; its connection could be used again.
    // Cause: its head went out before it could say that the connection closes.
    const latch = createLatch();
    const script = [accepted, sse, chunk(delta('a')), latch.step, chunk(doneEvent), end];
    const { url, entry, directory } = await start(() => script, { streamSilenceMs: 20_000 });
    const agent = new Agent({ keepAlive: true });
    const body = JSON.stringify({ model: 'm', stream: true, messages: [{ role: 'user', content: 'hi' }] });
    const headers = { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' };
    let text = '';
    const ended = new Promise((resolve) => {
      const sent = request(`${url}/v1/chat/completions`, { method: 'POST', agent, headers }, (answer) => {
        answer.on('data', (bytes: Buffer) => (text += bytes.toString())).on('end', resolve);
      });
      sent.end(body);
    });
    await waitUntil(() => text !== '');
    const drained = entry.drain();
    await waitUntil(() => directory.left);
    // Past the time in which the stopping entry waits for last connections: its listener is closed.
    const since = performance.now();
    await waitUntil(() => performance.now() - since > 800);
    latch.open();
    await ended;
    const finished = performance.now();
    await drained;
    expect(performance.now() - finished).toBeLessThan(20_000);
    expect(text).toBe(delta('a') + doneEvent);
    agent.destroy();
  });

  it('closes idle connections and does not wait for them', async () => {
    const { entry, url } = await start(() => [accepted, head(200, 'application/json'), chunk('{}'), end]);
    const agent = new Agent({ keepAlive: true });
    await new Promise((resolve) => {
      request(`${url}/v1/models`, { agent, headers: { authorization: `Bearer ${KEY}` } }, (answer) => {
        answer.resume().on('end', resolve);
      }).end();
    });
    await entry.drain();
    agent.destroy();
  });
});

describe('a slow reader', () => {
  it('holds up its own target with bounded memory and nobody else', async () => {
    // Symptom: one caller that reads slowly makes the entry grow, or others stand still.
    // Sequence: a caller stops reading a long stream; another one streams from the same target.
    // Cause: both streams share one connection to the gate.
    const length = 1_000;
    let taken = 0;
    const count: ScriptStep = {
      case: 'reached',
      action: () => {
        taken += 1;
      },
    };
    const many = Array.from({ length }, () => [count, chunk(delta('x'.repeat(8_000)))]).flat();
    const { url, gate, entry } = await start(() => [], { streamSilenceMs: 300 });
    gate.script = ({ requestId }) => {
      const events = requestId === 'slow' ? many : [chunk(delta('quick'))];
      return [accepted, sse, ...events, chunk(doneEvent), end];
    };
    const [host = '', port] = entry.httpAddress().split(':');
    const body = JSON.stringify({ model: 'm', stream: true, messages: [{ role: 'user', content: 'hi' }] });
    const fields = `Host: x\r\nAuthorization: Bearer ${KEY}\r\nX-Request-Id: slow\r\nContent-Type: application/json`;
    const slow = connect(Number(port), host);
    slow.pause();
    slow.write(
      `POST /v1/chat/completions HTTP/1.1\r\n${fields}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    let before = -1;
    await waitUntil(() => {
      const still = taken > 0 && taken === before;
      before = taken;
      return still;
    });
    expect(taken).toBeLessThan(length);
    expect(await (await chat(url)).text()).toBe(delta('quick') + doneEvent);
    // Longer than the bound on silence: a stream that is not read is not a silent one.
    const since = performance.now();
    await waitUntil(() => performance.now() - since > 700);
    let text = '';
    slow.on('data', (bytes: Buffer) => {
      text = (text + bytes.toString('latin1')).slice(-100);
    });
    slow.resume();
    await waitUntil(() => text.includes('[DONE]'));
    expect(gate.resumes).toHaveLength(0);
    slow.destroy();
  });

  it('is cut when it takes nothing for too long', async () => {
    // Symptom: an entry holds streams for callers that are long gone.
    // Sequence: the connection to a caller goes silent in the middle of an answer.
    // Cause: nothing ever closes such a connection; only bytes that are not taken show it.
    const many = Array.from({ length: 1_000 }, () => chunk(delta('x'.repeat(8_000))));
    const { gate, entry } = await start(() => [accepted, sse, ...many, chunk(doneEvent), end], {
      callerStallMs: 200,
    });
    const [host = '', port] = entry.httpAddress().split(':');
    const body = JSON.stringify({ model: 'm', stream: true, messages: [{ role: 'user', content: 'hi' }] });
    const fields = `Host: x\r\nAuthorization: Bearer ${KEY}\r\nContent-Type: application/json`;
    const stalled = connect(Number(port), host);
    stalled.on('error', () => undefined);
    stalled.pause();
    stalled.write(
      `POST /v1/chat/completions HTTP/1.1\r\n${fields}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    await waitUntil(() => gate.cancels.length === 1);
    let closed = false;
    let tail = '';
    stalled.on('close', () => (closed = true));
    stalled.on('data', (bytes: Buffer) => (tail = (tail + bytes.toString('latin1')).slice(-100)));
    stalled.resume();
    await waitUntil(() => closed);
    expect(tail).not.toContain('[DONE]');
  });
});

describe('a quiet stream', () => {
  it('tells its caller by comments that it lives', async () => {
    const heartbeat: ScriptStep[] = [
      { case: 'pause', ms: 60 },
      { case: 'heartbeat', value: {} },
    ];
    const heartbeats = [...heartbeat, ...heartbeat, ...heartbeat];
    const { url } = await start(
      () => [accepted, sse, chunk(delta('a')), ...heartbeats, chunk(doneEvent), end],
      {
        callerPingMs: 100,
      },
    );
    const text = await (await chat(url)).text();
    expect(text.startsWith(delta('a'))).toBe(true);
    expect(text).toContain(': ping\n\n');
    expect(text.replaceAll(': ping\n\n', '')).toBe(delta('a') + doneEvent);
  });
});
