import { describe, expect, it } from 'vitest';
import { folderBudget } from './folderBudget.js';
import type { FolderLimits } from './folderBudget.js';

const MB = 1_000_000;
const limits: FolderLimits = { snapshotBytes: 32 * MB, maxUncommittedBytes: 4 * MB };

describe('the budget of a folder', () => {
  // Guards against a snapshot that fails for want of space which the journal has taken.
  it('has room for two snapshots and the journal, also if all that the journal holds adds to the state', () => {
    for (const maxFolderBytes of [MB, 8 * MB, 64 * MB, 1_000 * MB]) {
      const budget = folderBudget({ ...limits, maxFolderBytes });
      const { mostBytes, segmentBytes, uncommittedBytes } = budget;
      expect(mostBytes).toBeLessThan(maxFolderBytes);
      for (const last of [0, 0.05, 0.1, 0.2].map((share) => share * mostBytes)) {
        const journal = budget.snapshotDueBytes(last) + 2 * segmentBytes + uncommittedBytes;
        expect(last + (last + journal) + journal).toBeLessThan(mostBytes);
      }
      const journal = budget.snapshotDueBytes(0.35 * mostBytes) + 2 * segmentBytes + uncommittedBytes;
      expect(2 * 0.35 * mostBytes + journal).toBeLessThan(mostBytes);
    }
  });

  // Guards against a large state that is written again for each large change.
  it('writes a state only after a share of the folder, and twice its size where that fits', () => {
    const { mostBytes, snapshotDueBytes } = folderBudget({ ...limits, maxFolderBytes: 64 * MB });
    for (let last = 0; last <= mostBytes; last += MB) {
      expect(snapshotDueBytes(last)).toBeGreaterThanOrEqual(mostBytes / 16);
      if (last <= 7 * MB) expect(snapshotDueBytes(last)).toBeGreaterThanOrEqual(2 * last);
    }
  });

  it('changes nothing where the folder is unbounded', () => {
    const budget = folderBudget(limits);
    expect(budget.snapshotDueBytes(0)).toBe(32 * MB);
    expect(budget.snapshotDueBytes(100 * MB)).toBe(32 * MB);
    expect(budget.uncommittedBytes).toBe(4 * MB);
    expect(budget.refusedBytes).toBe(Infinity);
  });
});
