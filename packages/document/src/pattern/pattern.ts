/** Patterns for paths: "*" stands for one segment, a last "**" for the rest, none included. */

const ANY_SEGMENT = '*';
const ANY_REST = '**';

/** What is wrong with a pattern, or undefined. */
export function patternFault(pattern: string): string | undefined {
  if (!pattern.startsWith('/')) return 'must start with "/"';
  if (/[?#%\s]/.test(pattern)) return 'must be a plain path: no "?", "#", "%" or space';
  const segments = segmentsOf(pattern);
  if (segments.includes('.') || segments.includes('..')) return 'must not hold "." or ".." segments';
  const mixed = segments.some(
    (segment) => segment.includes('*') && segment !== ANY_SEGMENT && segment !== ANY_REST,
  );
  if (mixed) return 'must use "*" and "**" as whole segments only';
  if (segments.slice(0, -1).includes(ANY_REST)) return 'must have "**" at its end only';
  return undefined;
}

/** Segments of a path. Empty ones are left out, so that "/a//b/" is "/a/b". */
export function segmentsOf(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/**
 * Segments of the path that a caller sent, without the query and with percent-encoding undone.
 *
 * A caller could write a path that may not be repeated in another way ("/%70olicies", "/a/../policies"), and
 * the rule for it would not match although the target runs the same call: it would then be run twice after
 * a break. So paths are compared decoded, and those that have no single reading give undefined.
 */
export function readPath(path: string): string[] | undefined {
  const plain = path.replace(/[?#].*$/s, '');
  if (!plain.startsWith('/')) return undefined;
  try {
    const segments = segmentsOf(plain).map((segment) => decodeURIComponent(segment));
    return segments.some(isAmbiguous) ? undefined : segments;
  } catch {
    return undefined;
  }
}

function isAmbiguous(segment: string): boolean {
  return segment === '.' || segment === '..' || /[/\\%\0]/.test(segment);
}

/** Whether a pattern covers the segments of a path. */
export function matchesPattern(pattern: readonly string[], path: readonly string[]): boolean {
  const open = pattern.at(-1) === ANY_REST;
  const fixed = open ? pattern.slice(0, -1) : pattern;
  if (path.length < fixed.length) return false;
  if (!open && path.length > fixed.length) return false;
  return fixed.every((segment, index) => segment === ANY_SEGMENT || segment === path[index]);
}

/**
 * Order of two patterns that cover the same path: negative when `a` is the closer one. Literal segments are
 * closer than "*", and that is closer than "**", from left to right.
 */
export function compareCloseness(a: readonly string[], b: readonly string[]): number {
  const length = Math.max(a.length, b.length);
  for (let index = 0; index < length; index += 1) {
    const difference = rank(a[index]) - rank(b[index]);
    if (difference !== 0) return difference;
  }
  return 0;
}

function rank(segment: string | undefined): number {
  if (segment === ANY_REST) return 3;
  if (segment === ANY_SEGMENT) return 1;
  return segment === undefined ? 2 : 0;
}
