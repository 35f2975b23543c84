/** Entries of hundreds of kilobytes on connections that need seconds to transfer them. */
import { beforeEach, describe, expect, it } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Message, Node } from '../testing/index.js';

const COMMAND_BYTES = 300_000;

/** Transfer rate in bytes per millisecond: a single command takes 0.5 s. */
const BYTES_PER_MS = 600;

describe('long messages on a slow connection', () => {
  let cluster: MemoryCluster;
  let leader: Node;

  beforeEach(async () => {
    cluster = new MemoryCluster(1, ['a', 'b', 'c']);
    await cluster.startAll();
    expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
    const found = cluster.leader();
    if (found === undefined) throw new Error('no leader');
    leader = found;
    expect(await cluster.until(() => leader.replica?.status().vouched === true, 10_000)).toBe(true);
    cluster.network.bytesPerMs = BYTES_PER_MS;
  });

  const command = (count: number, bytes = COMMAND_BYTES): string => `${count}`.padEnd(bytes, '.');

  const haveAll = (count: number): boolean =>
    cluster.nodes.every(({ createRecorder: recorder }) => recorder.commands.length === count);

  // Guards against heartbeats that overtake a long message, so that its entries look missing and are sent again.
  it('are sent once', async () => {
    let arrived = 0;
    cluster.network.isHeld = ({ method, isAnswer, content }: Message) => {
      const { entries = [] } = content as { entries?: unknown[] };
      if (method === 'append' && !isAnswer && entries.length > 0) arrived += 1;
      return false;
    };
    cluster.propose(leader, command(1));
    expect(await cluster.until(() => haveAll(1), 5_000)).toBe(true);
    await cluster.clock.advance(3_000);
    expect(arrived).toBe(cluster.nodes.length - 1);
    expect(cluster.violations).toEqual([]);
  });

  // Guards against messages that share a connection and repeatedly all time out before any of them is complete.
  it('arrive one after the other without a change of leader', async () => {
    const term = leader.replica?.status().term;
    const COMMANDS = 12;
    for (let count = 0; count < COMMANDS; count += 1) cluster.propose(leader, command(count));
    const leastMs = (COMMANDS * COMMAND_BYTES) / BYTES_PER_MS;
    expect(await cluster.until(() => haveAll(COMMANDS), 1.5 * leastMs)).toBe(true);
    expect(leader.replica?.status()).toMatchObject({ state: 'leader', term });
    expect(cluster.violations).toEqual([]);
  });

  // Guards against a timeout that ignores the length of a message, so that a long one never arrives.
  it('arrive even if a single one takes long', async () => {
    const bytes = 2_000_000;
    cluster.propose(leader, command(1, bytes));
    expect(await cluster.until(() => haveAll(1), (1.5 * bytes) / BYTES_PER_MS)).toBe(true);
    expect(cluster.violations).toEqual([]);
  });

  // Guards against a log that grows faster than a quorum can replicate it, because commands are retried repeatedly.
  it('leave room for later commands, however often they are retried', async () => {
    const bytes = 1_500_000;
    const send = (): void => {
      cluster.propose(leader, command(1, bytes), 900);
    };
    for (let sent = 0; sent < 15; sent += 1) {
      send();
      await cluster.clock.advance(500);
    }
    const later = cluster.propose(leader, 'later', 20_000);
    expect(await cluster.until(() => later.outcome === 'done', 15_000)).toBe(true);
    expect(cluster.violations).toEqual([]);
  });
});
