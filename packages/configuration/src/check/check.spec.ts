import { describe, expect, it } from 'vitest';
import type { Configuration } from '../schema/index.js';
import { checkConfiguration } from './check.js';

const route = {
  name: 'r1',
  host: 'a.example',
  pathPrefix: '/x/',
  kind: 'once' as const,
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 1,
  services: [{ service: 's1', weight: 1 }],
  maxAttempts: 1,
  open: false,
  hasPrompt: false,
  resumable: false,
};

const validConfiguration: Configuration = {
  number: 3,
  routes: [route],
  services: [{ name: 's1' }],
  customers: [{ name: 'c1', keys: ['k1', 'k1'], isolated: false }],
};

describe('a configuration', () => {
  it('is accepted when it is valid', () => {
    expect(checkConfiguration(validConfiguration)._unsafeUnwrap()).toEqual(validConfiguration);
  });

  it.each([
    ['an unknown service', { routes: [{ ...route, services: [{ service: 'gone', weight: 1 }] }] }, 'unknown'],
    [
      'two routes with the same host and prefix',
      { routes: [route, { ...route, host: 'A.example' }] },
      'two routes',
    ],
    [
      'two routes with the same host and prefix, one with a port',
      { routes: [route, { ...route, host: 'a.example:80' }] },
      'two routes',
    ],
    [
      'weights that add up to 0',
      { routes: [{ ...route, services: [{ service: 's1', weight: 0 }] }] },
      'add up to 0',
    ],
    ['a timeout of 0', { routes: [{ ...route, timeoutMs: 0 }] }, 'route r1 has a timeout of 0'],
    [
      'a shared key',
      {
        customers: [
          { name: 'c1', keys: ['k1'], isolated: false },
          { name: 'c2', keys: ['k1'], isolated: false },
        ],
      },
      'customers c1 and c2 share a key',
    ],
    ['no routes', { routes: undefined }, 'routes'],
    ['a number that is not numeric', { number: 'seven' }, 'number'],
  ])('is rejected with %s', (_title, change, text) => {
    const rejected = checkConfiguration({ ...validConfiguration, ...change })._unsafeUnwrapErr();
    expect(rejected.kind).toBe('invalid-document');
    expect(rejected.message).toContain(text);
  });

  it('names no key in its errors', () => {
    const customers = ['c1', 'c2'].map((name) => ({ name, keys: ['secret-key'], isolated: false }));
    expect(checkConfiguration({ ...validConfiguration, customers })._unsafeUnwrapErr().message).not.toContain(
      'secret',
    );
  });
});
