/** Reads and checks one document. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type * as z from 'zod';
import { documentKinds, documentSchema } from '../schema/index.js';
import type { Document, DocumentKind } from '../schema/index.js';
import { crossFieldFaults } from './crossField.js';
import { faultsOfIssues } from './issue.js';
import type { PathFault, Problem } from './problem.js';
import { pathText } from './problem.js';
import { isRecord } from '../raw/index.js';
import { readSource } from './source.js';
import type { Source } from './source.js';

/** Largest text that is read: ten times a document with 1,900 customers. */
export const MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;

/**
 * Reads a document from YAML text.
 * @returns the document with defaults filled in, or every fault, in the order of lines.
 */
export function parseDocument(text: string): Result<Document, Problem[]> {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) return err([tooLarge()]);
  const source = readSource(text);
  if (source.data === undefined) return err([...source.problems]);
  const parsed = documentSchema.safeParse(source.data);
  const problems = [...source.problems, ...problemsOf(source, parsed)];
  if (parsed.success && problems.length === 0) return ok(parsed.data);
  return err(problems.sort((a, b) => a.line - b.line));
}

function tooLarge(): Problem {
  return { path: '', line: 1, message: `must be at most ${MAX_DOCUMENT_BYTES} bytes` };
}

function problemsOf(source: Source, parsed: z.ZodSafeParseResult<Document>): Problem[] {
  const { data } = source;
  if (!isRecord(data)) return [{ path: '', line: 1, message: 'must be a map of fields' }];
  const issues = parsed.success ? [] : parsed.error.issues;
  const faults = [...faultsOfIssues(issues, data), ...faultsOfUnknownKind(data), ...crossFieldFaults(data)];
  return faults.map((fault) => locate(source, fault));
}

/** Gives problems that have a path but no line the line of their path in a text, if it is there. */
export function locateProblems(text: string, problems: readonly Problem[]): Problem[] {
  const { data, lineOf } = readSource(text);
  return problems.map((problem) => {
    const [first = '', ...rest] = problem.path.split('.');
    const found = isRecord(data) && Object.hasOwn(data, first);
    return problem.line === 0 && found ? { ...problem, line: lineOf([first, ...rest]) } : problem;
  });
}

function locate(source: Source, fault: PathFault): Problem {
  return { path: pathText(fault.path), line: source.lineOf(fault.path), message: fault.message };
}

/** Without a known kind the schema checks nothing else: check as the kind that the fields look like. */
function faultsOfUnknownKind(data: Record<string, unknown>): PathFault[] {
  if (typeof data.kind === 'string' && Object.hasOwn(documentKinds, data.kind)) return [];
  const kind = likelyKind(data);
  const copy = { ...data, kind };
  const parsed = documentKinds[kind].safeParse(copy);
  return parsed.success ? [] : faultsOfIssues(parsed.error.issues, copy);
}

function likelyKind(data: Record<string, unknown>): DocumentKind {
  if ('replicas' in data) return 'control';
  return 'routes' in data ? 'plain' : 'model';
}
