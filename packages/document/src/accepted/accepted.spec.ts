import { expect, it } from 'vitest';
import { hashKey } from '../customer/index.js';
import { parseDocument } from '../parse/index.js';
import { compactText, readAccepted } from './accepted.js';

const text = `
# A comment.
kind: plain
service: desk
owner: { team: desk, operators: { lead: "${hashKey('lead')}" } }
routes: [{ path: /desk/** }]
deadlines: { default: 5s }
`;

it('reads the compact form as the text itself', () => {
  const compact = compactText(text);
  expect(compact).not.toContain('comment');
  expect(readAccepted(compact)).toEqual(parseDocument(text));
  expect(readAccepted(text)).toEqual(parseDocument(text));
  expect(compactText(compact)).toBe(compact);
});

it('reads a text in braces that is no JSON', () => {
  const braces = `{ kind: plain, service: desk, routes: [{ path: /desk }], owner: { team: t, operators: { lead: "${hashKey('k')}" } } }`;
  expect(readAccepted(braces)._unsafeUnwrap()).toMatchObject({ service: 'desk' });
});

it('reports what the schema does not know, as from a newer release', () => {
  const newer = compactText(`${text}colour: red\n`);
  expect(readAccepted(newer)._unsafeUnwrapErr()).toEqual([
    { path: 'colour', line: 0, message: 'is not a known field' },
  ]);
});
