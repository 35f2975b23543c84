import { expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { parseDocument } from '../parse/index.js';
import { diffDocuments } from './difference.js';

const head = `
kind: model
service: pool
owner: { team: pool, operators: { lead: "${hashKey('lead')}" } }
`;

const read = (text: string) => parseDocument(head + text)._unsafeUnwrap();

it('compares by meaning, and named items by name', () => {
  const before = read('models: [{ name: a, version: "1" }, { name: b, version: "1" }]\nobjective: latency');
  const after = read(
    '# new\nmodels: [{ name: c, version: "1" }, { name: a, version: "2", share: 1 }]\ndeadlines: { max: 60s }',
  );
  expect(diffDocuments(before, after)).toEqual([
    { path: 'deadlines.max', before: 600_000, after: 60_000 },
    { path: 'models.a.version', before: '1', after: '2' },
    { path: 'models.b', before: { name: 'b', version: '1', adapters: [], share: 1 }, after: undefined },
    { path: 'models.c', before: undefined, after: { name: 'c', version: '1', adapters: [], share: 1 } },
  ]);
  expect(diffDocuments(undefined, after)).toEqual([{ path: '', before: undefined, after }]);
  expect(diffDocuments(after, after)).toEqual([]);
});
