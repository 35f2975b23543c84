/** Commands whose write at the leader failed, of which a part may be on its disk. */
import { afterEach, beforeEach, expect, test } from 'vitest';
import { MemoryCluster } from '../testing/index.js';
import type { Node } from '../testing/index.js';

/** Time after which a call to the disk that hangs has been given up, milliseconds. */
const GIVEN_UP_MS = 1_200;

let cluster: MemoryCluster;
let leader: Node;

beforeEach(async () => {
  cluster = new MemoryCluster(1, ['a', 'b', 'c']);
  await cluster.startAll();
  expect(await cluster.until(() => cluster.leader() !== undefined, 10_000)).toBe(true);
  await cluster.clock.advance(500);
  const found = cluster.leader();
  if (found === undefined) throw new Error('no leader');
  leader = found;
});

afterEach(() => {
  expect(cluster.violations).toEqual([]);
  for (const node of cluster.nodes) cluster.crash(node);
});

// Guards against an unknown outcome that is known soon after, and against a command that runs twice as it was tried again.
test.each(['before', 'after'] as const)(
  'a command runs once when its write took effect %s the disk hung',
  async (effect) => {
    const release = leader.disk.hang(effect);
    const attempt = cluster.propose(leader, 'once', 8_000);
    await cluster.clock.advance(GIVEN_UP_MS);
    expect(attempt.outcome).toBe('open');
    release();
    await cluster.until(() => attempt.outcome !== 'open', 8_000);
    expect(attempt.outcome).toBe('done');
    await cluster.clock.advance(3_000);
    cluster.checkFinalState();
  },
);

// Guards against a report as not run while the command may be found on the disk at the next start.
test('the outcome is unknown when the process ends before its disk works again', async () => {
  leader.disk.hang('before');
  const attempt = cluster.propose(leader, 'unknown', 8_000);
  await cluster.clock.advance(GIVEN_UP_MS);
  expect(attempt.outcome).toBe('open');
  cluster.crash(leader);
  await cluster.clock.advance(100);
  expect(attempt.outcome).toBe('may-have-run');
});

// Guards against callers that wait past their time.
test('the outcome is unknown when the time of its caller has passed', async () => {
  leader.disk.hang();
  const attempt = cluster.propose(leader, 'late', GIVEN_UP_MS + 300);
  await cluster.clock.advance(GIVEN_UP_MS);
  expect(attempt.outcome).toBe('open');
  await cluster.clock.advance(400);
  expect(attempt.outcome).toBe('may-have-run');
});
