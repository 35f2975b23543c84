/** Computes and applies edits between two texts, so that only the changed lines of a long document are sent. */
import { createHash } from 'node:crypto';

/** Replaces a range. Positions are UTF-16 code units in the text before all edits. */
export interface TextEdit {
  readonly start: number;
  readonly removed: number;
  readonly inserted: string;
}

/** Maximum number of inserted and removed lines to search for. Beyond it the whole changed part becomes one edit. */
const MAX_DISTANCE = 128;
const DIGEST_BYTES = 8;

/** The edits that turn `before` into `after`, in order. */
export function editsBetween(before: string, after: string): TextEdit[] {
  const a = splitPieces(before);
  const b = splitPieces(after);
  let head = 0;
  while (head < a.length && head < b.length && a[head] === b[head]) head += 1;
  let tail = 0;
  const longestTail = Math.min(a.length, b.length) - head;
  while (tail < longestTail && a[a.length - 1 - tail] === b[b.length - 1 - tail]) tail += 1;
  const offset = lengthOf(a, 0, head);
  const [oldLines, newLines] = [a.slice(head, a.length - tail), b.slice(head, b.length - tail)];
  const steps = shortestSteps(oldLines, newLines);
  if (steps === undefined) return singleEdit(oldLines, newLines, offset);
  return mergeSteps(steps, oldLines, newLines, offset);
}

/** Applies edits in order. @throws RangeError if a position lies outside the text. */
export function applyEdits(text: string, edits: readonly TextEdit[]): string {
  const parts: string[] = [];
  let position = 0;
  for (const { start, removed, inserted } of edits) {
    if (start < position || start + removed > text.length) throw new RangeError('edits do not fit the text');
    parts.push(text.slice(position, start), inserted);
    position = start + removed;
  }
  parts.push(text.slice(position));
  return parts.join('');
}

/** The first 8 bytes of the SHA-256 hash of a text. */
export function textDigest(text: string): Uint8Array {
  return createHash('sha256').update(text).digest().subarray(0, DIGEST_BYTES);
}

/** Splits a text into the pieces to compare: lines, and parts between commas, as the compact form is a single line. */
function splitPieces(text: string): string[] {
  return text.split(/(?<=[\n,])/);
}

function lengthOf(lines: readonly string[], from: number, to: number): number {
  let length = 0;
  for (let index = from; index < to; index += 1) length += lines[index]?.length ?? 0;
  return length;
}

function singleEdit(a: readonly string[], b: readonly string[], offset: number): TextEdit[] {
  return [{ start: offset, removed: lengthOf(a, 0, a.length), inserted: b.join('') }];
}

/** One step through both texts: a line in both, only in the old, or only in the new text. */
type Step = 'keep' | 'remove' | 'insert';

/**
 * The shortest edit script between two lists of lines, by Myers' greedy algorithm.
 * @returns undefined if it needs more than `MAX_DISTANCE` insertions and removals
 */
function shortestSteps(a: readonly string[], b: readonly string[]): Step[] | undefined {
  const reached = new Map<number, number>([[1, 0]]);
  const trace: Map<number, number>[] = [];
  for (let distance = 0; distance <= MAX_DISTANCE; distance += 1) {
    trace.push(new Map(reached));
    for (let diagonal = -distance; diagonal <= distance; diagonal += 2) {
      let x = startX(reached, diagonal, distance);
      while (x < a.length && x - diagonal < b.length && a[x] === b[x - diagonal]) x += 1;
      reached.set(diagonal, x);
      if (x >= a.length && x - diagonal >= b.length) return backtrack(trace, a.length, b.length);
    }
  }
  return undefined;
}

const furthestX = (reached: ReadonlyMap<number, number>, diagonal: number): number =>
  reached.get(diagonal) ?? -1;

function isInsertion(reached: ReadonlyMap<number, number>, diagonal: number, distance: number): boolean {
  if (diagonal === -distance) return true;
  return diagonal !== distance && furthestX(reached, diagonal - 1) < furthestX(reached, diagonal + 1);
}

function startX(reached: ReadonlyMap<number, number>, diagonal: number, distance: number): number {
  const inserted = isInsertion(reached, diagonal, distance);
  return inserted ? furthestX(reached, diagonal + 1) : furthestX(reached, diagonal - 1) + 1;
}

function backtrack(
  trace: readonly ReadonlyMap<number, number>[],
  oldLength: number,
  newLength: number,
): Step[] {
  const steps: Step[] = [];
  let [x, y] = [oldLength, newLength];
  for (let distance = trace.length - 1; distance >= 0; distance -= 1) {
    const reached = trace[distance] ?? new Map<number, number>();
    const inserted = isInsertion(reached, x - y, distance);
    const previousX = furthestX(reached, inserted ? x - y + 1 : x - y - 1);
    const previousY = previousX - (inserted ? x - y + 1 : x - y - 1);
    while (x > previousX && y > previousY && x > 0 && y > 0) {
      steps.push('keep');
      x -= 1;
      y -= 1;
    }
    if (distance > 0) steps.push(inserted ? 'insert' : 'remove');
    [x, y] = [previousX, previousY];
  }
  return steps.reverse();
}

/** Merges adjacent steps into edits. */
function mergeSteps(
  steps: readonly Step[],
  a: readonly string[],
  b: readonly string[],
  offset: number,
): TextEdit[] {
  const edits: TextEdit[] = [];
  let open: { start: number; removed: number; inserted: string } | undefined;
  let [x, y, position] = [0, 0, offset];
  for (const step of steps) {
    const [oldLine, newLine] = [a[x] ?? '', b[y] ?? ''];
    if (step === 'keep') open = undefined;
    else if (open === undefined) edits.push((open = { start: position, removed: 0, inserted: '' }));
    if (step === 'remove' && open !== undefined) open.removed += oldLine.length;
    if (step === 'insert' && open !== undefined) open.inserted += newLine;
    if (step !== 'insert') {
      x += 1;
      position += oldLine.length;
    }
    if (step !== 'remove') y += 1;
  }
  return edits;
}
