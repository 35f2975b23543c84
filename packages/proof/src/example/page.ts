/** Shell examples of the pages that operators and callers read. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Folder of the repository. */
export const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));

const OPERATOR_PAGES = 'docs/operators';
const SHELL_BLOCK = /^```sh\n(.*?)^```$/gms;

/** One shell block of a page. */
export interface Block {
  readonly page: string;
  /** Line of its first command, from 1. */
  readonly line: number;
  readonly text: string;
}

/** Pages whose examples must work, relative to the repository. */
export function pages(): string[] {
  const operators = readdirSync(join(ROOT, OPERATOR_PAGES)).filter((name) => name.endsWith('.md'));
  return ['README.md', ...operators.sort().map((name) => join(OPERATOR_PAGES, name)), 'examples/README.md'];
}

function blocksOf(page: string): Block[] {
  const content = readFileSync(join(ROOT, page), 'utf8');
  return [...content.matchAll(SHELL_BLOCK)].map((match) => ({
    page,
    line: content.slice(0, match.index).split('\n').length + 1,
    text: match[1] ?? '',
  }));
}

/** All shell blocks of all pages. */
export const allBlocks = (): Block[] => pages().flatMap(blocksOf);
