import { readFileSync } from 'node:fs';
import { parse, stringify } from 'yaml';
import { expect, it } from 'vitest';
import { hashKey } from './customer/index.js';
import { parseDocument, problemText } from './parse/index.js';

/** What the fragments in the pages leave out. */
const base = {
  kind: 'model',
  service: 'example',
  owner: { team: 'example', operators: { lead: hashKey('lead') } },
  models: [{ name: 'model', version: '1' }],
};

function blocksOf(page: string): string[] {
  const text = readFileSync(new URL(`../../../docs/operators/${page}`, import.meta.url), 'utf8');
  return [...text.matchAll(/^```yaml\n(.*?)^```$/gms)].map((match) => match[1] ?? '');
}

const pages = ['documents.md', 'first-setup.md'];

it.each(pages)('gives examples in %s that are accepted', (page) => {
  const blocks = blocksOf(page);
  expect(blocks.length).toBeGreaterThan(0);
  for (const block of blocks) {
    const fields = parse(block) as object;
    const text = 'kind' in fields ? block : stringify({ ...base, ...fields });
    const problems = parseDocument(text).match(
      () => [],
      (found) => found.map(problemText),
    );
    expect({ block, problems }).toEqual({ block, problems: [] });
  }
});
