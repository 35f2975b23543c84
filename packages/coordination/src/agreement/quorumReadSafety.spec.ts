/** Queries at all replicas while replicas are cut off, lose their disks, and lose and regain their votes. */
import { afterEach, expect, test } from 'vitest';
import { MemoryCluster, seeded } from '../testing/index.js';
import type { Node } from '../testing/index.js';

const NAMES = ['a', 'b', 'c', 'd'];
const ROUNDS = 2;

/** Pause between two commands and queries, milliseconds. */
const STEP_MS = 150;

/** Time for which a replica is cut off, milliseconds: long enough for it to lose its vote. */
const CUT_MS = 5_000;

/** Time after which all replicas answer again, milliseconds. */
const CALM_MS = 4_000;

const VOTING = new Set(['leader', 'follower', 'candidate']);

let cluster: MemoryCluster;
let random: () => number;
let answered: number;

const drawn = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;

/** Lets replicas without a vote request one, as an instance does. */
function enlist(): void {
  const leader = cluster.leader();
  for (const { replica, address } of cluster.nodes) {
    const status = replica?.status();
    if (status === undefined || (VOTING.has(status.state) && status.vouched)) continue;
    void leader?.replica?.enlist(address);
  }
}

async function run(ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    const running = cluster.nodes.filter(({ replica }) => replica !== undefined);
    enlist();
    cluster.propose(drawn(running), `command ${cluster.attempts.length}`, 900);
    const query = cluster.query(drawn(running), 900);
    await cluster.clock.advance(STEP_MS);
    if (query.outcome === 'answered') answered += 1;
  }
}

function isolate({ address }: Node): void {
  for (const other of cluster.nodes) cluster.network.cut(address.address, other.address.address);
}

async function round(): Promise<void> {
  isolate(drawn(cluster.nodes));
  await run(CUT_MS);
  cluster.network.heal();
  await run(CALM_MS);
  const wiped = drawn(cluster.nodes);
  cluster.wipe(wiped);
  await run(1_000);
  await cluster.start(wiped);
  await run(CALM_MS);
}

afterEach(() => {
  for (const node of cluster.nodes) cluster.crash(node);
});

// Guards against answers that lack a command committed before the query: each result is checked against all commands known to be.
test.each([1, 2, 3, 4, 5, 6])('queries reflect all commands committed before, seed %i', async (seed) => {
  random = seeded(seed);
  answered = 0;
  cluster = new MemoryCluster(seed, NAMES);
  cluster.network.maxDelayMs = 60;
  await cluster.startAll();
  await cluster.until(() => cluster.leader() !== undefined, 10_000);
  for (let rounds = 0; rounds < ROUNDS; rounds += 1) await round();
  expect(cluster.violations).toEqual([]);
  expect(answered).toBeGreaterThan(50);
});
