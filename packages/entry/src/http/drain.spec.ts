import { Agent, request } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { FakeGate, accepted, chunk, delta, doneEvent, end, head, sse } from '../testing/fakeGate.js';
import type { ScriptStep } from '../testing/fakeGate.js';
import { KEY, chat, modelDocument, startTestEntry, target, waitUntil } from '../testing/testEntry.js';
import type { TestEntry } from '../testing/testEntry.js';

const gates: FakeGate[] = [];
let testEntry: TestEntry | undefined;

async function start(
  script: () => ScriptStep[],
  settings: object = {},
): Promise<TestEntry & { gate: FakeGate }> {
  const gate = new FakeGate();
  await gate.start();
  gates.push(gate);
  gate.script = script;
  testEntry = await startTestEntry([modelDocument()], [target('agent', gate.address)], settings);
  return { ...testEntry, gate };
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
  await testEntry?.close();
  await Promise.all(gates.splice(0).map((one) => one.close()));
});

describe('a planned stop', () => {
  // Guards against a rolling restart that fails requests. The stop begins while a stream runs and the load balancer
  // still sends new requests; a listener that closes before the balancer has noticed refuses them.
  it('reports unready first, keeps accepting, and finishes every stream', async () => {
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

  // Guards against a stop that lasts until the keep-alive timeout. A stream starts before the stop and ends
  // during it; its head was sent too early to carry `Connection: close`, so the connection stays open for reuse.
  it('does not wait for a connection whose stream started before it', async () => {
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
    // Longer than the draining server waits for new connections, so that its listener is closed.
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

  // Guards against requests that arrive seconds after the stop began, on connections that were idle all the time.
  it('closes idle connections while it still accepts new ones', async () => {
    const drainDelayMs = 2_200;
    const { entry, url } = await start(() => [], { drainDelayMs });
    const agent = new Agent({ keepAlive: true });
    const list = (): Promise<number | undefined> =>
      new Promise((resolve, reject) => {
        request(`${url}/v1/models`, { agent, headers: { authorization: `Bearer ${KEY}` } }, (answer) => {
          answer.resume().on('end', () => {
            resolve(answer.statusCode);
          });
        })
          .on('error', reject)
          .end();
      });
    await list();
    await waitUntil(() => Object.values(agent.freeSockets).flat().length === 1);
    const begunAt = performance.now();
    const drained = entry.drain();
    await waitUntil(() => Object.values(agent.freeSockets).flat().length === 0);
    expect(performance.now() - begunAt).toBeLessThan(drainDelayMs);
    expect(await list()).toBe(200);
    await drained;
    agent.destroy();
  });
});

describe('a slow reader', () => {
  // Guards against one slow caller that makes the entry's memory grow or blocks other callers. A caller stops reading a
  // long stream while another one streams from the same target, and both streams share a connection to the gate.
  it('slows down only its own stream, with bounded memory', async () => {
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
    // Longer than `streamSilenceMs`: a stream that is not being read must not count as silent.
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

  // Guards against streams that are kept for callers that are long gone. A connection to a caller goes silent in the
  // middle of an answer without being closed; only the unread bytes reveal it.
  it('is disconnected when it reads nothing for too long', async () => {
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
  it('sends comments to show its caller that it is alive', async () => {
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
