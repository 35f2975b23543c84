import { silentLog } from '@jasmineroute/core';
import type { Log } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { coordinationEvents } from '../events.js';
import { MemoryCluster, seeded } from '../testing/index.js';
import type { Node } from '../testing/index.js';
import type { StateMachine } from './index.js';

const MB = 1_000_000;

/** Snapshots as control takes them. */
const CONTROL_TUNING = { snapshotEntries: 20_000, snapshotBytes: 32 * 1024 * 1024 };

/** Longest time without a read while one replica is lost, milliseconds. */
const READ_MS = 5_000;

/** Changes between two losses of a replica. */
const CHANGES_BETWEEN_LOSSES = 12;

/** Bytes of the number at the beginning of a change. */
const NUMBER_BYTES = 8;

/** Keeps only the last change, as a configuration does. */
class LastChange implements StateMachine {
  private last: Uint8Array = Buffer.alloc(NUMBER_BYTES);

  apply(_index: bigint, change: Uint8Array): Uint8Array {
    this.last = change;
    return this.query();
  }

  query(): Uint8Array {
    return this.last.subarray(0, NUMBER_BYTES);
  }

  snapshot(): Uint8Array {
    return Buffer.from(this.last);
  }

  restore(data: Uint8Array): void {
    this.last = data;
  }
}

const changeOf = (number: number, bytes: number): Uint8Array => {
  const change = Buffer.alloc(bytes, 'x');
  change.write(String(number).padStart(NUMBER_BYTES, '0'));
  return change;
};

const numberOf = (change: Uint8Array): number => Number(Buffer.from(change).toString());

/** Errors of the disk that replicas logged. */
function diskErrors(): { log: Log; errors: string[] } {
  const errors: string[] = [];
  const log: Log = {
    ...silentLog,
    event: ({ id, level }, fields) => {
      const isOfDisk = id === coordinationEvents.storageFailed.id || level === 'error';
      if (isOfDisk) errors.push(`${id} ${String(fields?.reason)}`);
    },
    with: () => log,
  };
  return { log, errors };
}

/** What a run saw. */
interface Outcome {
  /** Disk errors that replicas logged. */
  readonly errors: string[];
  /** Reads that took too long, or returned less than was acknowledged. */
  readonly failedReads: string[];
  readonly acknowledged: number;
  readonly changes: number;
}

interface Play {
  readonly seed: number;
  readonly diskBytes: number;
  readonly changeBytes: number;
  readonly changes: number;
}

/** Makes changes one after the other, while replicas lose their power in turn. */
async function playChanges({ seed, diskBytes, changeBytes, changes }: Play): Promise<Outcome> {
  const { log, errors } = diskErrors();
  const tuning = { ...CONTROL_TUNING, maxFolderBytes: diskBytes };
  const cluster = new MemoryCluster(seed, ['a', 'b', 'c'], tuning, log, () => new LastChange());
  const random = seeded(seed);
  const failedReads: string[] = [];
  let acknowledged = 0;
  for (const { disk } of cluster.nodes) disk.capacityBytes = diskBytes;
  const anyRunning = (): Node => {
    const running = cluster.nodes.filter(({ replica }) => replica !== undefined);
    return running[Math.floor(random() * running.length)] ?? cluster.find('a');
  };

  const propose = async (number: number): Promise<void> => {
    let isOpen = true;
    void anyRunning()
      .replica?.propose(changeOf(number, changeBytes), 2_000)
      .then((result) => {
        isOpen = false;
        if (result.isOk()) acknowledged = number;
      });
    await cluster.until(() => !isOpen, 5_000);
  };

  const read = async (): Promise<void> => {
    const startedAt = cluster.clock.monotonic();
    let found: number | undefined;
    while (found === undefined && cluster.clock.monotonic() < startedAt + READ_MS) {
      let isOpen = true;
      void anyRunning()
        .replica?.query(new Uint8Array(), 900)
        .then((result) => {
          isOpen = false;
          if (result.isOk()) found = numberOf(result.value);
        });
      await cluster.until(() => !isOpen, 2_000);
    }
    if (found === undefined) failedReads.push(`none within ${READ_MS} ms after change ${acknowledged}`);
    else if (found < acknowledged) failedReads.push(`${found} after ${acknowledged} was acknowledged`);
  };

  const loseNext = async (loss: number): Promise<void> => {
    for (const node of cluster.nodes) await cluster.start(node);
    const node = cluster.nodes[loss % cluster.nodes.length];
    if (node !== undefined) cluster.crash(node);
  };

  await cluster.startAll();
  await cluster.until(() => cluster.leader() !== undefined, 10_000);
  for (let number = 1; number <= changes && failedReads.length === 0; number += 1) {
    if (number % CHANGES_BETWEEN_LOSSES === 0) await loseNext(number / CHANGES_BETWEEN_LOSSES);
    await propose(number);
    if (number % 4 === 0) await read();
  }
  for (const node of cluster.nodes) cluster.crash(node);
  return { errors, failedReads, acknowledged, changes };
}

describe('a folder on a small disk', () => {
  // Guards against a disk that journal and snapshots fill themselves, after which no vote can be saved and nothing is read.
  it.each([
    { seed: 1, diskBytes: 64 * MB, changeBytes: MB, changes: 160 },
    { seed: 2, diskBytes: 64 * MB, changeBytes: MB, changes: 160 },
    { seed: 3, diskBytes: 8 * MB, changeBytes: MB / 8, changes: 200 },
  ])(
    'of $diskBytes bytes is never filled by large changes (seed $seed)',
    async (play) => {
      const { errors, failedReads, acknowledged, changes } = await playChanges(play);
      expect({ errors: errors.slice(0, 3), failedReads }).toEqual({ errors: [], failedReads: [] });
      expect(acknowledged).toBeGreaterThan(changes - CHANGES_BETWEEN_LOSSES);
    },
    120_000,
  );

  // Guards against a state that grows until no vote can be saved, after which it can't be read either.
  it('holds a state that is too large for it, refuses changes, and still returns it when a replica is lost', async () => {
    const { log, errors } = diskErrors();
    const tuning = { ...CONTROL_TUNING, maxFolderBytes: 8 * MB };
    const cluster = new MemoryCluster(4, ['a', 'b', 'c'], tuning, log);
    for (const { disk } of cluster.nodes) disk.capacityBytes = 8 * MB;
    await cluster.startAll();
    await cluster.until(() => cluster.leader() !== undefined, 10_000);
    const refused = (): boolean => cluster.attempts.at(-1)?.outcome === 'not-run';
    for (let number = 1; number <= 60 && !refused(); number += 1) {
      const change = `${number} ${'x'.repeat(MB / 4)}`;
      const attempt = cluster.propose(cluster.leader() ?? cluster.find('a'), change);
      await cluster.until(() => attempt.outcome !== 'open', 5_000);
    }
    expect(refused()).toBe(true);
    const lost = cluster.leader() ?? cluster.find('a');
    cluster.crash(lost);
    await cluster.until(() => cluster.leader() !== undefined, READ_MS);
    const query = cluster.query(cluster.leader() ?? lost);
    expect(await cluster.until(() => query.outcome === 'answered', READ_MS)).toBe(true);
    await cluster.start(lost);
    await cluster.until(() => false, READ_MS);
    cluster.checkFinalState();
    expect(cluster.violations).toEqual([]);
    expect(errors.filter((error) => error.includes('ENOSPC'))).toEqual([]);
    for (const node of cluster.nodes) cluster.crash(node);
  }, 60_000);

  // Guards against a full disk that stays full: the snapshot that would free it is tried again only after as many changes.
  it('is freed soon after there is space for a snapshot again', async () => {
    const cluster = new MemoryCluster(1, ['a'], { snapshotBytes: MB }, silentLog, () => new LastChange());
    const node = cluster.find('a');
    const { disk } = node;
    await cluster.startAll();
    await cluster.until(() => cluster.leader() !== undefined, 10_000);
    const journalBytes = (): number => node.replica?.heldBytes().journal ?? 0;
    const change = changeOf(1, MB / 4);
    while (journalBytes() < MB / 2) {
      void node.replica?.propose(change, 2_000);
      await cluster.clock.advance(200);
    }
    // Space for the entries that make a snapshot due, but not for the snapshot.
    disk.capacityBytes = disk.usedBytes() + (MB * 3) / 4;
    for (let more = 0; more < 3; more += 1) {
      void node.replica?.propose(change, 2_000);
      await cluster.clock.advance(200);
    }
    expect(journalBytes()).toBeGreaterThan(MB);
    expect(cluster.leader()).toBe(node);
    disk.capacityBytes = 8 * MB;
    expect(await cluster.until(() => journalBytes() < MB / 2, 15_000)).toBe(true);
    cluster.crash(node);
  });
});

// Guards against a disk filled by entries that nobody reads again: a restart reads none that a snapshot covers.
it('a journal holds no entry that a snapshot covers, also if lagging replicas may need it', async () => {
  const tuning = { snapshotBytes: MB, retainedBytes: 16 * MB };
  const cluster = new MemoryCluster(1, ['a'], tuning, silentLog, () => new LastChange());
  const node = cluster.find('a');
  await cluster.startAll();
  await cluster.until(() => cluster.leader() !== undefined, 10_000);
  for (let number = 1; number <= 20; number += 1) {
    void node.replica?.propose(changeOf(number, MB / 4), 2_000);
    await cluster.clock.advance(200);
    expect(node.replica?.heldBytes().journal).toBeLessThan((MB * 3) / 2);
  }
  cluster.crash(node);
});
