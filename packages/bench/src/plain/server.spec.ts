import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';
import { readExecutions } from '../engine/index.js';
import type { Listening } from '../ready/index.js';
import { startStore, storeSettings } from '../store/index.js';
import { startPlain } from './server.js';
import { plainSettings } from './settings.js';

const running: Listening[] = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map((one) => one.close()));
});

describe('the plain stand-in', () => {
  it('echoes the call and counts it by key', async () => {
    const executions = join(mkdtempSync(join(tmpdir(), 'plain-')), 'executions');
    const plain = await startPlain(plainSettings.parse({ name: 'desk', latencyMs: '0', executions }));
    running.push(plain);
    const call = () =>
      fetch(`${plain.url}/desk/notes?x=1`, {
        method: 'POST',
        body: 'text',
        headers: { 'X-Request-Id': 'r1', 'Idempotency-Key': 'k1' },
      });
    const answer = await call();
    await call();
    expect(answer.headers.get('x-request-id')).toBe('r1');
    expect(await answer.json()).toMatchObject({
      method: 'POST',
      path: '/desk/notes',
      key: 'k1',
      body: 'text',
    });
    const report = await (await fetch(`${plain.url}/stand-in/executions`)).json();
    expect(report).toEqual({ requests: { r1: 2 }, nonces: { k1: 2 } });
    expect(readExecutions(executions)).toHaveLength(2);
  });
});

describe('the store stand-in', () => {
  it('hands out one set of weights at a time', async () => {
    const store = await startStore(storeSettings.parse({ loadMs: '60', concurrent: '1' }));
    running.push(store);
    const begin = performance.now();
    const fetchWeights = (version: number) => fetch(`${store.url}/weights/base/${version}`);
    await Promise.all([1, 2, 3].map(fetchWeights));
    expect(performance.now() - begin).toBeGreaterThanOrEqual(175);
  });

  it('keeps blocks and exports those that are asked for', async () => {
    const store = await startStore(storeSettings.parse({ kvBlockMs: '0' }));
    running.push(store);
    const event = {
      parent: null,
      hashes: ['a', 'b'],
      tokens: Array.from({ length: 32 }, (_, index) => index),
      salt: 's',
      model: 'm',
      adapter: '',
      version: '1',
    };
    await fetch(`${store.url}/kv/put`, { method: 'POST', body: JSON.stringify({ events: [event] }) });
    const exported = await (await fetch(`${store.url}/kv/export?hashes=a,b,c`)).json();
    expect(exported).toMatchObject({ events: [event] });
  });
});
