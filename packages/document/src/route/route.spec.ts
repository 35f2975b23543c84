import { describe, expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { parseDocument } from '../parse/index.js';
import type { Document } from '../schema/index.js';
import { matchRoute } from './route.js';

const plain = (service: string, routes: string): [string, Document] => [
  service,
  parseDocument(
    `{ kind: plain, service: ${service}, routes: ${routes}, ` +
      `owner: { team: t, operators: { lead: "${hashKey(service)}" } } }`,
  )._unsafeUnwrap(),
];

const documents = new Map([
  plain('all', '[{ path: /** }]'),
  plain('desk', '[{ path: /desk/** }]'),
  plain('forms', '[{ path: /desk/*/forms }]'),
  plain('portal', '[{ host: portal.example }]'),
]);

describe('matchRoute', () => {
  it.each([
    ['a.example', '/desk/1?x=/y', 'desk'],
    ['a.example', '/desk', 'desk'],
    ['a.example', '/desk/1/forms', 'forms'],
    ['a.example', '/%64esk//1/', 'desk'],
    ['a.example', '/deskx', 'all'],
    ['Portal.Example:8080', '/desk/1', 'portal'],
    ['portal.example', '/v1/models', undefined],
    ['a.example', '/healthz', undefined],
    ['a.example', '/x/../desk/1', undefined],
    ['a.example', '/desk%2f1', undefined],
    ['a.example', '/desk/%zz', undefined],
    ['a.example', '*', undefined],
    [undefined, '/', 'all'],
  ])('gives %s %s to %s', (host, path, service) => {
    expect(matchRoute(documents, host, path)?.service).toBe(service);
  });
});
