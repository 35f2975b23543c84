import { describe, expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { parseDocument } from '../parse/index.js';
import { checkAgainst, checkTogether } from './together.js';

const documentsOf = (...texts: string[]) =>
  new Map(
    texts.map((text) => {
      const document = parseDocument(text)._unsafeUnwrap();
      return [document.service, document];
    }),
  );

const model = (service: string, name: string, customers: string): string =>
  `{ kind: model, service: ${service}, models: [{ name: ${name}, version: "1" }], customers: ${customers}, ` +
  `owner: { team: ${service}, operators: { lead: "${hashKey(service)}" } } }`;

const one = `[{ name: one, keys: ["${hashKey('k1')}"] }]`;
const two = `[{ name: two, keys: ["${hashKey('k1')}"] }]`;
const operatorAsCustomer = `[{ name: two, keys: ["${hashKey('a')}"] }]`;

describe('checkTogether', () => {
  it('lets a customer have the same key in two services', () => {
    expect(checkTogether(documentsOf(model('a', 'x', one), model('b', 'y', one)))).toEqual([]);
  });

  it.each([
    ['a model of two services', model('b', 'x', '[]'), 'b.models.0.name', 'x is already a model of a'],
    [
      'a key of two customers',
      model('b', 'y', two),
      'b.customers.0.keys.0',
      'is already the key of customer one in a',
    ],
    [
      'an operator key as customer key',
      model('b', 'y', operatorAsCustomer),
      'b.customers.0.keys.0',
      'is already the key of operator lead of a in a',
    ],
  ])('reports %s', (_name, text, path, message) => {
    expect(checkTogether(documentsOf(model('a', 'x', one), text))).toEqual([{ path, line: 0, message }]);
  });

  it('lays clashes on the document that is about to be applied', () => {
    const others = documentsOf(model('b', 'x', '[]'), model('a', 'y', '[]'));
    const [document] = documentsOf(model('a', 'x', '[]')).values();
    if (document === undefined) throw new Error('no document');
    const clash = { path: 'models.0.name', line: 0, message: 'x is already a model of b' };
    expect(checkAgainst(document, others)).toEqual([clash]);
  });

  it('reports a route of two services', () => {
    const plain = (service: string): string =>
      `{ kind: plain, service: ${service}, routes: [{ path: /x/** }], ` +
      `owner: { team: t, operators: { lead: "${hashKey('t')}" } } }`;
    const problems = checkTogether(documentsOf(plain('a'), plain('b')));
    expect(problems).toEqual([{ path: 'b.routes.0', line: 0, message: 'is already a route of a' }]);
  });
});
