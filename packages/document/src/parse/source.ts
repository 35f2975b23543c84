/** Reads YAML and finds the lines of its parts. */
import { LineCounter, isMap, isPair, isScalar, isSeq, parseDocument, visit } from 'yaml';
import type { ErrorCode, Node, Pair, Document as Tree, YAMLError } from 'yaml';
import type { Path, Problem } from './problem.js';

/** A duplicate key leaves the rest of the text readable; after other faults the tree can't be trusted. */
const HARMLESS_CODE = 'DUPLICATE_KEY';

/** Texts for faults whose own text speaks to programs. */
const syntaxMessages: Readonly<Partial<Record<ErrorCode, string>>> = {
  DUPLICATE_KEY: 'the same field is given twice',
  MULTIPLE_DOCS: 'must be one YAML document, without a second one after "---"',
  NON_STRING_KEY: 'fields must have a plain text as their name',
};

/** Bound on aliases: a few lines of nested ones stand for more nodes than memory holds. */
const MAX_ALIASES = 100;

/** A text that was read as YAML. */
export interface Source {
  /** Plain data; undefined when the syntax is broken. */
  readonly data: unknown;
  /** Faults of the syntax. */
  readonly problems: readonly Problem[];
  /** Line of the part at a path, or of the closest part around it. */
  readonly lineOf: (path: Path) => number;
}

/** Reads a text. */
export function readSource(text: string): Source {
  const lines = new LineCounter();
  const tree = parseDocument(text, { lineCounter: lines, prettyErrors: false, stringKeys: true });
  const lineAt = (offset: number): number => lines.linePos(offset).line;
  const faults = [...tree.errors, ...tree.warnings];
  const problems = [...faults.map((error) => syntaxProblem(error, lineAt)), ...unknownAliases(tree, lineAt)];
  const lineOf = (path: Path): number => lineAt(offsetOf(tree, path));
  const broken = tree.errors.some((error) => error.code !== HARMLESS_CODE) || problems.length > faults.length;
  if (broken) return { data: undefined, problems, lineOf };
  return { ...plainData(tree, problems), lineOf };
}

function unknownAliases(tree: Tree, lineAt: (offset: number) => number): Problem[] {
  const problems: Problem[] = [];
  visit(tree, {
    Alias: (_key, alias) => {
      if (alias.resolve(tree) !== undefined) return;
      const line = lineAt(startOf(alias) ?? 0);
      problems.push({ path: '', line, message: `there is no anchor &${alias.source}` });
    },
  });
  return problems;
}

function syntaxProblem(error: YAMLError, lineAt: (offset: number) => number): Problem {
  return { path: '', line: lineAt(error.pos[0]), message: syntaxMessages[error.code] ?? error.message };
}

function plainData(tree: Tree, problems: Problem[]): Pick<Source, 'data' | 'problems'> {
  try {
    return { data: tree.toJS({ maxAliasCount: MAX_ALIASES }), problems };
  } catch (error) {
    const message = error instanceof Error ? error.message : 'cannot be read';
    return { data: undefined, problems: [...problems, { path: '', line: 1, message }] };
  }
}

/** Where the part at a path starts: its key in a map, itself in a list. */
function offsetOf(tree: Tree, path: Path): number {
  let node: unknown = tree.contents;
  let offset = startOf(node) ?? 0;
  for (const step of path) {
    const part = partOf(node, step);
    if (part === undefined) return offset;
    offset = startOf(isPair(part) ? part.key : part) ?? offset;
    node = isPair(part) ? part.value : part;
  }
  return offset;
}

function partOf(node: unknown, step: string | number): Pair | Node | undefined {
  if (isMap(node))
    return node.items.find((pair) => isScalar(pair.key) && String(pair.key.value) === String(step));
  if (isSeq(node)) return node.items[Number(step)] as Node | undefined;
  return undefined;
}

function startOf(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}
