import { describe, expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { parseDocument } from '../parse/index.js';
import type { RoutedService } from '../schema/index.js';
import { nonIdempotentFor } from './idempotency.js';

const service = parseDocument(`
kind: model
service: pool
owner: { team: pool, operators: { lead: "${hashKey('lead')}" } }
customers: [{ name: one, keys: ["${hashKey('one')}"] }]
models:
  - { name: captions, version: "1", adapters: [{ name: short, version: "1" }] }
  - { name: checks, version: "1", adapters: [{ name: notes, version: "1" }] }
nonIdempotent:
  - models: [captions, "checks:notes"]
  - { methods: [POST], path: /bills/*, customers: [one] }
`)._unsafeUnwrap() as RoutedService;

describe('nonIdempotentFor', () => {
  it.each([
    [{ method: 'POST', path: '/v1/completions', model: 'captions' }, true],
    [{ method: 'POST', path: '/v1/completions', model: 'captions:short' }, true],
    [{ method: 'POST', path: '/v1/completions', model: 'checks:notes' }, true],
    [{ method: 'POST', path: '/v1/completions', model: 'checks' }, false],
    [{ method: 'POST', path: '/bills/7', customer: 'one' }, true],
    [{ method: 'post', path: '/bills/7?x', customer: 'one' }, true],
    [{ method: 'GET', path: '/bills/7', customer: 'one' }, false],
    [{ method: 'POST', path: '/bills/7', customer: 'two' }, false],
    [{ method: 'POST', path: '/bills/7' }, false],
    [{ method: 'POST', path: '/bills', customer: 'one' }, false],
  ])('says of %o: %s', (call, expected) => {
    expect(nonIdempotentFor(service, call)).toBe(expected);
  });

  it.each(['/%62ills/7', '/bills//7', '/x/../bills/7', '/bills%2f7'])('sees through %s', (path) => {
    // Symptom: a call that may not be repeated runs twice after its connection broke.
    // Sequence: the caller writes the path in another way; the target decodes it, the rule does not match.
    // Cause: paths were compared as they came.
    expect(nonIdempotentFor(service, { method: 'POST', path, customer: 'one' })).toBe(true);
  });
});
