/** How the bytes that a replica's folder may hold are divided between journal, snapshots and votes. */

const KIB = 1_024;

/** Length from which on an unbounded journal begins a new segment. */
const SEGMENT_BYTES = 4 * KIB * KIB;

/** Bytes that are kept free for the vote, its temporary file, and the first entries of leaders. */
const RESERVED_BYTES = 256 * KIB;

/** Largest share that is kept free for them. */
const RESERVED_SHARE = 1 / 32;

/** Share of a segment. The journal may keep two of them beyond what a snapshot covers. */
const SEGMENT_SHARE = 1 / 32;

/** Share of commands that wait for a quorum. */
const UNCOMMITTED_SHARE = 1 / 16;

/** Share of one command beyond these. */
const COMMAND_SHARE = 1 / 32;

/** Share that the journal holds when a snapshot of a small state is due. */
const DUE_SHARE = 1 / 8;

/** Least share that the journal holds when a snapshot is due: smaller ones would write the state too often. */
const LEAST_DUE_SHARE = 1 / 16;

/** Bytes of the journal for each byte of a snapshot: the state is written once for twice as much of commands. */
const JOURNAL_PER_SNAPSHOT = 2;

/** Limits from which the budget follows. */
export interface FolderLimits {
  /** Bytes that the folder may hold; undefined: unbounded. */
  readonly maxFolderBytes?: number | undefined;
  /** Bytes of entries after which a snapshot is due at the latest. */
  readonly snapshotBytes: number;
  /** Bytes of commands that may wait for a quorum at most. */
  readonly maxUncommittedBytes: number;
}

/** The division. All are bytes. */
export interface FolderBudget {
  /** Length from which on the journal begins a new segment. */
  readonly segmentBytes: number;
  /** Uncommitted commands from which on a leader refuses more. */
  readonly uncommittedBytes: number;
  /** Size of journal and snapshots from which on a leader refuses commands: the state is too large for the folder. */
  readonly refusedBytes: number;
  /** Size of journal and snapshots beyond which only small entries are written. */
  readonly mostBytes: number;
  /** Bytes of entries that a snapshot would free, from which on it is due, by the size of the last one. */
  readonly snapshotDueBytes: (lastSnapshotBytes: number) => number;
}

/**
 * Divides a folder. While a snapshot is written, the folder holds the one before, the new one and the journal; the new one may
 * exceed the one before by all that the journal holds.
 */
export function folderBudget(limits: FolderLimits): FolderBudget {
  const { maxFolderBytes = Infinity, snapshotBytes, maxUncommittedBytes } = limits;
  const mostBytes = maxFolderBytes - Math.min(RESERVED_BYTES, maxFolderBytes * RESERVED_SHARE);
  const segmentBytes = Math.min(SEGMENT_BYTES, mostBytes * SEGMENT_SHARE);
  const uncommittedBytes = Math.min(maxUncommittedBytes, mostBytes * UNCOMMITTED_SHARE);
  const beyondDue = 2 * segmentBytes + uncommittedBytes + mostBytes * COMMAND_SHARE;
  const snapshotDueBytes = (last: number): number => {
    if (mostBytes === Infinity) return snapshotBytes;
    const fitting = mostBytes / 2 - last - beyondDue;
    const wanted = Math.max(JOURNAL_PER_SNAPSHOT * last, mostBytes * DUE_SHARE);
    return Math.max(Math.min(snapshotBytes, fitting, wanted), mostBytes * LEAST_DUE_SHARE);
  };
  const refusedBytes = mostBytes === Infinity ? Infinity : mostBytes - beyondDue;
  return { segmentBytes, uncommittedBytes, refusedBytes, mostBytes, snapshotDueBytes };
}
