import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Scene, ask, keyOf, rawRequest, sendRaw } from '../fixture/index.js';

const CHAT = '/v1/chat/completions';
const JSON_TYPE = 'content-type: application/json';
const body = (model: string): string =>
  JSON.stringify({ model, max_tokens: 1, messages: [{ role: 'user', content: 'x' }] });

describe('bad requests', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({
      controls: 1,
      entries: 1,
      engines: 1,
      desks: 0,
      entryArgs: ['--header-timeout-ms', '1500'],
    });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const key = `authorization: Bearer ${keyOf('alder')}`;

  const cases: readonly (readonly [string, string, number, string])[] = [
    [
      'wrong content type',
      rawRequest('POST', CHAT, [key, 'content-type: text/plain'], 'x'),
      415,
      'unsupported-media-type',
    ],
    ['broken JSON', rawRequest('POST', CHAT, [key, JSON_TYPE], '{"model":'), 400, 'invalid-request'],
    ['wrong shape', rawRequest('POST', CHAT, [key, JSON_TYPE], '{"model":7}'), 400, 'invalid-request'],
    ['no key', rawRequest('POST', CHAT, [JSON_TYPE], body('writer')), 401, 'unauthenticated'],
    [
      'unknown key',
      rawRequest('POST', CHAT, ['authorization: Bearer nobody', JSON_TYPE], body('writer')),
      401,
      'unauthenticated',
    ],
    ['unknown model', rawRequest('POST', CHAT, [key, JSON_TYPE], body('nothing')), 404, 'unknown-model'],
    ['unknown path', rawRequest('GET', '/nowhere', [key]), 404, 'unknown-route'],
    ['wrong method', rawRequest('DELETE', CHAT, [key]), 405, 'method-not-allowed'],
    [
      'a body said to be too large',
      `POST ${CHAT} HTTP/1.1\r\nhost: e\r\n${key}\r\n${JSON_TYPE}\r\ncontent-length: 99999999\r\n\r\n`,
      413,
      'body-too-large',
    ],
    [
      'a bad deadline',
      rawRequest('POST', CHAT, [key, JSON_TYPE, 'x-request-deadline-ms: soon'], body('writer')),
      400,
      'invalid-request',
    ],
    [
      'a bad request id',
      rawRequest('POST', CHAT, [key, JSON_TYPE, `x-request-id: ${'i'.repeat(3_000)}`], body('writer')),
      400,
      'invalid-request',
    ],
  ];

  it.each(cases)('%s gets a clear error', async (_name, bytes, status, code) => {
    const answer = await sendRaw(scene.url(), bytes);
    expect(answer).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(answer).toContain(`"code":"${code}"`);
    expect(answer).toContain('"run":"not-run"');
  });

  const tricks: readonly (readonly [string, string])[] = [
    [
      'two lengths',
      `POST ${CHAT} HTTP/1.1\r\nhost: e\r\n${key}\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
    ],
    [
      'length and chunks',
      `POST ${CHAT} HTTP/1.1\r\nhost: e\r\n${key}\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    ],
    ['a huge head', `GET / HTTP/1.1\r\nhost: e\r\nx-long: ${'a'.repeat(200_000)}\r\n\r\n`],
    ['garbage', '\x16\x03\x01\x02\x00garbage\r\n\r\n'],
    ['a control character in a header', `GET / HTTP/1.1\r\nhost: e\r\nx-bad: a\x00b\r\n\r\n`],
    ['half a head', 'POST / HTTP/1.1\r\nhost: e\r\n'],
  ];

  it.each(tricks)('%s is refused, and nothing runs', async (_name, bytes) => {
    const before = scene.executions().length;
    const answer = await sendRaw(scene.url(), bytes);
    expect(answer).toMatch(/^HTTP\/1\.1 (400|408|413|431) /);
    expect(scene.executions()).toHaveLength(before);
  });

  it('leave the process unharmed', async () => {
    const entry = scene.member('entry-1').process;
    const { pid } = entry;
    await Promise.all(
      [...cases.map(([, bytes]) => bytes), ...tricks.map(([, bytes]) => bytes)].map((bytes) =>
        sendRaw(scene.url(), bytes),
      ),
    );
    const answer = await ask({ url: scene.url() });
    expect(answer.text).toBe(answer.wanted);
    expect([entry.running, entry.pid]).toEqual([true, pid]);
  });
});
