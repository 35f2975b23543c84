/** Shell examples of the pages that operators and callers read. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Folder of the repository. */
export const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));

const OPERATOR_PAGES = 'docs/operators';
/** Opening of a block, with the language that it names; every second one is a closing. */
const FENCE = /^ *(?:```|~~~)(.*)$/gm;
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

/** Languages of all blocks of a page. */
export function languagesOf(page: string): string[] {
  const fences = [...readFileSync(join(ROOT, page), 'utf8').matchAll(FENCE)];
  return fences.filter((_, at) => at % 2 === 0).map((match) => match[1] ?? '');
}

/** Flags that a page names in running text, as in `--name`. */
export function flagsNamed(page: string): string[] {
  const content = readFileSync(join(ROOT, page), 'utf8').replace(/^```.*?^```$/gms, '');
  return [...content.matchAll(/`(--[a-z][a-z-]*)/g)].map((match) => match[1] ?? '');
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
