import { expect, it } from 'vitest';
import { policyNames } from '@jasmineroute/document';
import { policies } from './registry.js';

it('has a policy for each name that a document may give, and no other', () => {
  expect(policies.names().sort()).toEqual([...policyNames].sort());
});
