import { readFileSync, readdirSync } from 'node:fs';
import { expect, it } from 'vitest';
import { customerOf, operatorOf } from './customer/index.js';
import { nonIdempotentFor } from './idempotency/index.js';
import { parseDocument } from './parse/index.js';
import type { RoutedService } from './schema/index.js';
import { checkTogether } from './together/index.js';

const folder = new URL('../../../examples/', import.meta.url);

const documents = ['trust', 'guild'].flatMap((deployment) =>
  readdirSync(new URL(`${deployment}/`, folder)).map((file) => {
    const text = readFileSync(new URL(`${deployment}/${file}`, folder), 'utf8');
    return parseDocument(text)._unsafeUnwrap() as RoutedService;
  }),
);

it('holds documents of all four services that fit together', () => {
  const names = documents.map(({ service }) => service).sort();
  expect(names).toEqual(['appraiser-models', 'delivery-portal', 'lm-pool', 'registry-desk']);
  expect(checkTogether(new Map(documents.map((document) => [document.service, document])))).toEqual([]);
});

it.each(documents)('has eight customers and an operator with the stated keys in $service', (document) => {
  const { customers, owner } = document;
  expect(customers).toHaveLength(8);
  for (const { name } of customers) expect(customerOf(document, `example-key-${name}`)?.name).toBe(name);
  expect(operatorOf(document, `example-operator-key-${owner.team}`)).toBe(`${owner.team}-lead`);
});

it('marks the calls that may not be repeated', () => {
  const rule = (service: string, path: string, model?: string): boolean => {
    const document = documents.find((candidate) => candidate.service === service);
    if (document === undefined) throw new Error(`no document of ${service}`);
    return nonIdempotentFor(document, { method: 'POST', path, model });
  };
  expect(rule('appraiser-models', '/v1/chat/completions', 'valuation')).toBe(false);
  expect(rule('appraiser-models', '/v1/chat/completions', 'valuation:notes')).toBe(true);
  expect(rule('lm-pool', '/v1/completions', 'rating-check')).toBe(false);
  expect(rule('lm-pool', '/v1/completions', 'captions')).toBe(true);
  expect(rule('registry-desk', '/registry-desk/policies/7/notes')).toBe(true);
  expect(rule('delivery-portal', '/delivery-portal/packages/7/send')).toBe(true);
});
