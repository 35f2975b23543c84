import { expect, it } from 'vitest';
import { documentReference } from './reference.js';

const rows = documentReference()
  .split('\n')
  .filter((line) => line.startsWith('| `'))
  .map((line) => line.split(' | '));

it('gives every field a type, a default and a meaning', () => {
  expect(rows.length).toBeGreaterThan(40);
  for (const row of rows) expect(row.map((cell) => cell.trim() === '')).toEqual([false, false, false, false]);
});

it('takes types and defaults from the schema', () => {
  const text = rows.map((row) => row.slice(0, 3).join(' | '));
  expect(text).toContain('| `customers[].keys` | list of key hash, at least 1 | required');
  expect(text).toContain('| `deadlines.default` | duration | `60s`');
  expect(text).toContain('| `limits` | map | see its fields');
  expect(text).toContain('| `owner.operators` | map of names to key hash | required');
});
