import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyEdits, editsBetween } from './textEdit.js';

const text = fc
  .array(fc.constantFrom('a\n', 'b\n', 'c\n', 'é\n', '\n'), { maxLength: 40 })
  .chain((lines) => fc.constantFrom('', 'end').map((end) => lines.join('') + end));

describe('editsBetween', () => {
  it('turns one text into another', () => {
    fc.assert(
      fc.property(text, text, (before, after) => {
        expect(applyEdits(before, editsBetween(before, after))).toBe(after);
      }),
      { numRuns: 500 },
    );
  });

  it('returns two small edits for two distant small changes', () => {
    const lines = Array.from({ length: 8_000 }, (_, index) => `line ${index}\n`);
    const before = lines.join('');
    const after = lines.with(10, 'ten\n').with(7_000, '').join('');
    const edits = editsBetween(before, after);
    expect(edits).toEqual([
      { start: before.indexOf('line 10\n'), removed: 8, inserted: 'ten\n' },
      { start: before.indexOf('line 7000\n'), removed: 10, inserted: '' },
    ]);
  });

  it('returns a single edit for texts with little in common', () => {
    const before = Array.from({ length: 500 }, (_, index) => `old ${index}\n`).join('');
    const after = Array.from({ length: 500 }, (_, index) => `new ${index}\n`).join('');
    expect(editsBetween(before, after)).toEqual([{ start: 0, removed: before.length, inserted: after }]);
  });
});
