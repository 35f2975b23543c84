import { expect, it } from 'vitest';
import { parseDocument } from '../parse/index.js';
import type { RoutedService } from '../schema/index.js';
import { customerOf, operatorOf, priorityLevel } from './customer.js';
import { hashKey } from './key.js';

const service = parseDocument(`
kind: model
service: pool
owner: { team: pool, operators: { lead: "${hashKey('op')}" } }
models: [{ name: a, version: "1" }]
priorities: [{ name: normal, level: 50 }, { name: high, level: 80 }]
customers:
  - { name: one, keys: ["${hashKey('old')}", "${hashKey('new')}"], priority: high }
  - { name: two, keys: ["${hashKey('other')}"] }
`)._unsafeUnwrap() as RoutedService;

it('finds customers and operators by their keys', () => {
  expect(customerOf(service, 'old')?.name).toBe('one');
  expect(customerOf(service, 'new')?.name).toBe('one');
  expect(customerOf(service, 'other')?.name).toBe('two');
  expect(customerOf(service, 'op')).toBeUndefined();
  expect(customerOf(service, hashKey('old'))).toBeUndefined();
  expect(operatorOf(service, 'op')).toBe('lead');
  expect(operatorOf(service, 'old')).toBeUndefined();
});

it('gives the level of a priority class', () => {
  expect(service.customers.map((customer) => priorityLevel(service, customer))).toEqual([80, 50]);
});

it('hashes as documents hold it', () => {
  expect(hashKey('abc')).toBe('sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad');
});
