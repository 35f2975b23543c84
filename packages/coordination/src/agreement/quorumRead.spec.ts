/** Questions to a quorum for reads without a leader. */
import { ManualClock } from '@jasmineroute/core';
import { expect, it } from 'vitest';
import { configurationOf, voter } from './configuration.js';
import type { Joining } from './joining.js';
import { QuorumRead } from './quorumRead.js';
import type { Replica } from './replica.js';

const HEARTBEAT_MS = 100;
const SPAN_MS = 2_000;

// Guards against reads whose questions add to the load that keeps the replicas from a leader.
it('reads that wait for a quorum ask it no more often than every second heartbeat', async () => {
  const clock = new ManualClock();
  const voters = ['a', 'b', 'c'].map((name) => voter(name, name, name));
  const configuration = configurationOf('cluster', voters, []);
  let questions = 0;
  const joining = {
    identify: () => {
      questions += 1;
      return Promise.resolve(undefined);
    },
  } as unknown as Joining;
  const replica = {
    id: 'a',
    clock,
    tuning: { heartbeatMs: HEARTBEAT_MS },
    commitIndex: 1n,
    configuration,
    entries: { last: { index: 1n }, configuration: () => ({ index: 1n, configuration }) },
  } as unknown as Replica;
  const reads = new QuorumRead(replica, joining);
  let isOver = false;
  const ask = async (): Promise<void> => {
    while (!isOver) {
      await reads.point();
      await new Promise(setImmediate);
    }
  };
  const asking = [ask(), ask(), ask()];
  for (let passed = 0; passed < SPAN_MS; passed += 10) await clock.advance(10);
  expect(questions / (voters.length - 1)).toBeGreaterThan(SPAN_MS / (4 * HEARTBEAT_MS));
  expect(questions / (voters.length - 1)).toBeLessThanOrEqual(SPAN_MS / (2 * HEARTBEAT_MS) + 1);
  isOver = true;
  await clock.advance(SPAN_MS);
  await Promise.all(asking);
});
