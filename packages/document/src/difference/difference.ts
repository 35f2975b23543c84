/** What changes from one document to the next. */
import type { Path } from '../parse/index.js';
import { pathText } from '../parse/index.js';
import { isRecord } from '../raw/index.js';
import type { Document } from '../schema/index.js';

/** One changed part. Durations are in milliseconds; a side that has no such part lacks its value. */
export interface Difference {
  /** Path, with list items that have a name under that name: "customers.harbour.share". */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/**
 * Differences in meaning between two checked documents: comments, order of fields and defaults that are
 * spelt out make none. Items with names are compared by name, so that one inserted item is one difference.
 */
export function diffDocuments(before: Document | undefined, after: Document | undefined): Difference[] {
  return compare([], before, after);
}

function compare(path: Path, before: unknown, after: unknown): Difference[] {
  const left = fieldsOf(before);
  const right = fieldsOf(after);
  if (left === undefined || right === undefined) return compareValues(path, before, after);
  const keys = new Set([...left.keys(), ...right.keys()]);
  return [...keys].flatMap((key) => compare([...path, key], left.get(key), right.get(key)));
}

function compareValues(path: Path, before: unknown, after: unknown): Difference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path: pathText(path), before, after }];
}

/** Parts of a map or of a list of named items; undefined for values that are compared whole. */
function fieldsOf(value: unknown): Map<string, unknown> | undefined {
  if (isRecord(value)) return new Map(Object.entries(value));
  if (!Array.isArray(value)) return undefined;
  const items = value as unknown[];
  const names = items.map((item) =>
    isRecord(item) && typeof item.name === 'string' ? item.name : undefined,
  );
  if (names.includes(undefined)) return undefined;
  return new Map(items.map((item, index) => [names[index] ?? '', item]));
}
