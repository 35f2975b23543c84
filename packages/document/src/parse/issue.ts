/** Turns what the schema says into faults that name one field each. */
import type * as z from 'zod';
import type { Path, PathFault } from './problem.js';
import { isRecord } from '../raw/index.js';

type Issue = z.core.$ZodIssue;

/** Faults of a schema's issues. Messages never hold a value: it may be a key in the clear. */
export function faultsOfIssues(issues: readonly Issue[], data: unknown): PathFault[] {
  return issues.flatMap((issue) => faultsOf(issue, data));
}

function faultsOf(issue: Issue, data: unknown): PathFault[] {
  const path = issue.path.filter((step) => typeof step !== 'symbol');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], message: 'is not a known field' }));
  }
  if (issue.code === 'invalid_key')
    return [{ path, message: issue.issues[0]?.message ?? 'is not a valid name' }];
  if (isMissing(path, data)) return [{ path, message: 'is required' }];
  return [{ path, message: plainMessage(issue) }];
}

function isMissing(path: Path, data: unknown): boolean {
  let value = data;
  for (const step of path) {
    if (Array.isArray(value)) value = value[Number(step)] as unknown;
    else if (isRecord(value)) value = value[step];
    else return false;
  }
  return value === undefined;
}

function plainMessage(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `must be ${typeNames[issue.expected] ?? issue.expected}`;
    case 'invalid_value':
      return `must be ${issue.values.map((value) => JSON.stringify(value)).join(' or ')}`;
    case 'invalid_union':
      return 'must be "model", "plain" or "control"';
    case 'too_small':
      return issue.origin === 'string'
        ? 'must not be empty'
        : sizeMessage(issue.message, issue.inclusive ? 'at least' : 'more than', issue.minimum);
    case 'too_big':
      return sizeMessage(issue.message, issue.inclusive ? 'at most' : 'less than', issue.maximum);
    default:
      return issue.message;
  }
}

const typeNames: Readonly<Record<string, string>> = {
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a map of fields',
  record: 'a map of fields',
};

/** A message of the schema's own, or one that gives the bound. */
function sizeMessage(message: string, relation: string, bound: number | bigint): string {
  return message.startsWith('must ') ? message : `must be ${relation} ${bound}`;
}
