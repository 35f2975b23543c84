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

describe('the salt of cached parts', () => {
  const customers = [
    { name: 'shares', keys: ['k1'], isolated: false },
    { name: 'alone', keys: ['k2'], isolated: true },
    { name: 'both', keys: ['k3'], isolated: true },
    { name: 'both', keys: ['k4'], isolated: false },
  ];
  const scopesAt = (sharedSince?: number): string[] => {
    const salted = routingTable({ number: 9, routes: [], services: [], customers }, sharedSince);
    return [undefined, 'shares', 'alone', 'both', 'gone'].map((name) => salted.cacheScopeOf(name));
  };

  // Guards against caches that an update makes cold.
  it('has the text that it always had until a configuration begins another one', () => {
    expect(scopesAt()).toEqual(['', '', 'customer-alone ', 'customer-both ', 'customer-gone ']);
    expect(scopesAt(0)).toEqual(scopesAt());
  });

  // Guards against parts of one customer that another one uses: only customers that are known to share do.
  it('is the common one for customers that share, and for nobody else', () => {
    const common = 'shared-7 ';
    expect(scopesAt(7)).toEqual([common, common, 'customer-alone ', 'customer-both ', 'customer-gone ']);
  });
});
