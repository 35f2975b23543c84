import { describe, expect, it } from 'vitest';
import type { Route } from '../schema/index.js';
import { routingTable } from './table.js';

const route = (name: string, host: string, pathPrefix: string): Route => ({
  name,
  host,
  pathPrefix,
  kind: 'idempotent',
  timeoutMs: 1_000,
  objectiveMs: 100,
  priority: 1,
  services: [{ service: 's1', weight: 1 }],
  maxAttempts: 2,
  open: false,
  hasPrompt: false,
  resumable: false,
});

const table = routingTable({
  number: 1,
  routes: [
    route('short', 'a.example', '/x/'),
    route('long', 'a.example', '/x/y/'),
    route('other', 'b.example', '/'),
  ],
  services: [{ name: 's1' }],
  customers: [{ name: 'c1', keys: ['k1', 'k2'], isolated: false }],
});

describe('a routing table', () => {
  it.each([
    ['a.example', '/x/1', 'short'],
    ['a.example', '/x/y/1', 'long'],
    ['A.example:80', '/x/y/1?q=/x/', 'long'],
    ['b.example', '/anything', 'other'],
    ['a.example', '/x', undefined],
    ['a.example', '/?/x/', undefined],
    ['c.example', '/x/', undefined],
  ])('finds the route of %s%s', (host, path, name) => {
    expect(table.routeOf(host, path)?.name).toBe(name);
  });

  it('finds a customer by each of its keys', () => {
    expect(table.customerOf('k2')?.name).toBe('c1');
    expect(table.customerOf('k3')).toBeUndefined();
  });
});
