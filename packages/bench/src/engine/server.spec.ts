import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { waitFor } from '@jasmineroute/testkit';
import { answerText } from './answer.js';
import { readExecutions } from './executions.js';
import { startEngine } from './server.js';
import type { RunningEngine } from './server.js';
import { engineSettings } from './settings.js';

const quick = { prefillRate: '1000000', stepMs: '5', eventDelayMs: '0', loadMs: '0' };
const running: RunningEngine[] = [];

async function start(change: Record<string, string> = {}): Promise<RunningEngine> {
  const engine = await startEngine(engineSettings.parse({ ...quick, ...change }));
  running.push(engine);
  return engine;
}

const post = (url: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> =>
  fetch(url, { method: 'POST', headers, body: JSON.stringify(body) });

const textOf = (events: string): string =>
  [...events.matchAll(/"text":"([^"]*)"/g)].map(([, text]) => text ?? '').join('');

const prompt = 'p'.repeat(640);
const completion = (change: object = {}) => ({ model: 'base', prompt, max_tokens: 8, ...change });

describe('the engine stand-in', () => {
  afterEach(async () => {
    await Promise.all(running.splice(0).map((engine) => engine.close()));
  });

  it('streams a whole answer with ids, usage and marker, and echoes the request id', async () => {
    const { url, engine } = await start();
    const answer = await post(`${url}/v1/completions`, completion({ stream: true }), {
      'X-Request-Id': 'r1',
    });
    const events = await answer.text();
    expect(answer.headers.get('x-request-id')).toBe('r1');
    expect(answer.headers.get('x-engine-incarnation')).toBe(engine.incarnation);
    expect(textOf(events)).toBe(answerText(prompt, 8));
    expect(events).toContain('id: 7\n');
    expect(events).toContain('"cached_tokens":0');
    expect(events.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  it('goes on from a prompt with a part of the answer, on another engine too', async () => {
    const { url } = await start();
    const written = answerText(prompt, 3);
    const answer = await post(
      `${url}/v1/completions`,
      completion({ prompt: prompt + written, max_tokens: 5 }),
    );
    const body = (await answer.json()) as { choices: { text: string }[] };
    expect(written + (body.choices[0]?.text ?? '')).toBe(answerText(prompt, 8));
  });

  it('resumes a stream whose connection broke, from any event', async () => {
    const { url } = await start();
    const abort = new AbortController();
    await fetch(`${url}/v1/completions`, {
      method: 'POST',
      headers: { 'X-Request-Id': 'r1' },
      body: JSON.stringify(completion({ stream: true })),
      signal: abort.signal,
    });
    abort.abort();
    const resumed = await fetch(`${url}/v1/streams/r1?from=3`);
    const events = await resumed.text();
    expect(events.startsWith('id: 3\n')).toBe(true);
    expect(answerText(prompt, 3) + textOf(events)).toBe(answerText(prompt, 8));
    expect((await fetch(`${url}/v1/streams/other`)).status).toBe(404);
  });

  it('cancels what nobody reads, after the grace', async () => {
    const { url, engine } = await start({ stepMs: '50', resumeMs: '100' });
    const abort = new AbortController();
    await fetch(`${url}/v1/completions`, {
      method: 'POST',
      headers: { 'X-Request-Id': 'r1' },
      body: JSON.stringify(completion({ stream: true, max_tokens: 1_000 })),
      signal: abort.signal,
    });
    abort.abort();
    await waitFor('the cancellation', () => engine.find('r1')?.stage === 'cancelled');
  });

  it('cancels on request, and the stream ends without its marker', async () => {
    const { url } = await start({ stepMs: '50' });
    const answer = await post(`${url}/v1/completions`, completion({ stream: true, max_tokens: 1_000 }), {
      'X-Request-Id': 'r1',
    });
    const cancelled = await post(`${url}/abort_request`, { rid: 'r1' });
    expect(await cancelled.json()).toEqual({ state: 'cancelled' });
    await expect(answer.text()).rejects.toThrow();
    expect(await (await post(`${url}/abort_request`, { rid: 'r2' })).json()).toEqual({ state: 'unknown' });
  });

  it('refuses an old fencing number, or ignores that it is old', async () => {
    for (const [checkFence, status] of [
      ['true', 409],
      ['false', 200],
    ] as const) {
      const { url } = await start({ checkFence });
      const load = (fence: number) => post(`${url}/v1/load_model`, { model: 'extra', version: '2', fence });
      expect((await load(5)).status).toBe(200);
      expect((await load(4)).status).toBe(status);
    }
  });

  it('forgets the cache of weights that are unloaded', async () => {
    const { url } = await start();
    await post(`${url}/v1/completions`, completion());
    const count = async () =>
      ((await (await fetch(`${url}/kv_snapshot`)).json()) as { events: [] }).events.length;
    expect(await count()).toBeGreaterThan(0);
    await post(`${url}/v1/unload_model`, { model: 'base', version: '1', fence: 1 });
    expect(await count()).toBe(0);
    expect((await post(`${url}/v1/completions`, completion())).status).toBe(404);
  });

  it('imports blocks of another engine, and needs not compute them', async () => {
    const [first, second] = [await start(), await start()];
    await post(`${first.url}/v1/completions`, completion());
    const snapshot = (await (await fetch(`${first.url}/kv_snapshot`)).json()) as {
      events: { hashes: string[] }[];
    };
    const hashes = snapshot.events.flatMap((event) => event.hashes);
    await post(`${second.url}/kv/import`, { from: first.url, hashes });
    const answer = await post(`${second.url}/v1/completions`, completion());
    expect(await answer.text()).toContain('"cached_tokens":144');
  });

  it('reports load with a lag', async () => {
    const { url } = await start({ stepMs: '50', loadLagMs: '60000' });
    const load = async () => ((await (await fetch(`${url}/load`)).json()) as { running: number }).running;
    expect(await load()).toBe(0);
    const answer = await post(`${url}/v1/completions`, completion({ stream: true, max_tokens: 1_000 }));
    expect(await load()).toBe(0);
    await answer.body?.cancel();
  });

  it('counts executions by id and nonce, over a restart too', async () => {
    const executions = join(mkdtempSync(join(tmpdir(), 'engine-')), 'executions');
    const first = await start({ executions });
    const body = completion({ metadata: { nonce: 'n1' } });
    await post(`${first.url}/v1/completions`, body, { 'X-Request-Id': 'r1' });
    const second = await start({ executions });
    await post(`${second.url}/v1/completions`, body, { 'X-Request-Id': 'r2' });
    const report = await (await fetch(`${second.url}/stand-in/executions`)).json();
    expect(report).toEqual({ requests: { r1: 1, r2: 1 }, nonces: { n1: 2 } });
    expect(readExecutions(executions).map(({ id }) => id)).toEqual(['r1', 'r2']);
  });

  it('answers a broken body with 400 and lives', async () => {
    const { url } = await start();
    const broken = await fetch(`${url}/v1/completions`, { method: 'POST', body: '{"model":' });
    expect(broken.status).toBe(400);
    expect((await post(`${url}/v1/completions`, { model: 'base' })).status).toBe(400);
    expect((await fetch(`${url}/health`)).status).toBe(200);
  });
});
