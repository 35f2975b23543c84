/** Leaders that have just been elected after a restart of all replicas. */
import { isMessage } from '@bufbuild/protobuf';
import type { Log } from '@jasmineroute/core';
import { describe, expect, test } from 'vitest';
import { coordinationEvents } from '../events.js';
import { VoteRequestSchema, VoteResponseSchema } from '../gen/agreement/agreement_pb.js';
import { MemoryCluster, seeded } from '../testing/index.js';
import type { Message, Node } from '../testing/index.js';
import { quorumOf } from './configuration.js';
import { tuning } from './options.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

const SEEDS = Array.from({ length: 20 }, (_, at) => at + 1);

/** Longest time without a confirmed leader, milliseconds: a follower bears as long a silence before it stands. */
const { electionMinMs: BOUND_MS } = tuning.parse({});

/** How long no replica runs, milliseconds: longer than a message is on its way. */
const DARK_MS = 1_000;

/** Longest wait for a leader, milliseconds. */
const PATIENCE_MS = 10_000;

/** Time for which control is watched, milliseconds. */
const WATCH_MS = 8_000;

/** Step of the watch, milliseconds. */
const LOOK_MS = 10;

/** Longest time in which a replica has acted on an answer, its sync included, milliseconds. */
const ACT_MS = 50;

let cluster: MemoryCluster;
/** Why leaders stepped down since all replicas were ended. */
let reasons: string[];

const log: Log = {
  event: ({ id }, fields) => {
    if (id === coordinationEvents.steppedDown.id) reasons.push(String(fields?.reason));
  },
  with: () => log,
};

const isLed = (): boolean => cluster.leader() !== undefined;

const statusOf = ({ replica }: Node) => replica?.status();

const isElected = (): boolean => cluster.nodes.some((node) => statusOf(node)?.state === 'leader');

/** Founds a cluster. */
async function found(seed: number): Promise<void> {
  reasons = [];
  cluster = new MemoryCluster(seed, NAMES, {}, log);
  await cluster.startAll();
  expect(await cluster.until(isLed, PATIENCE_MS)).toBe(true);
}

/** Ends all replicas at once. */
async function endAll(): Promise<void> {
  for (const node of cluster.nodes) cluster.crash(node);
  await cluster.clock.advance(DARK_MS);
  reasons = [];
}

/** Watches control from now on. @returns the longest time without a confirmed leader, milliseconds. */
async function longestGap(): Promise<number> {
  let longestMs = 0;
  let ledAt = cluster.clock.monotonic();
  const end = ledAt + WATCH_MS;
  while (cluster.clock.monotonic() < end) {
    await cluster.clock.advance(LOOK_MS);
    const now = cluster.clock.monotonic();
    if (isLed()) ledAt = now;
    longestMs = Math.max(longestMs, now - ledAt);
  }
  return longestMs;
}

/** Ends a history. @returns what it is told of by, where control was without a leader for too long or `isFailure`. */
async function judge(seed: number, isFailure = (): boolean => false): Promise<string[]> {
  const gapMs = await longestGap();
  const isFailed = gapMs > BOUND_MS || isFailure();
  const failure = `seed ${seed.toString()}: ${gapMs.toString()} ms without a leader (${reasons.join(', ')})`;
  for (const node of cluster.nodes) cluster.crash(node);
  expect(cluster.violations).toEqual([]);
  return isFailed ? [failure] : [];
}

describe.each([10, 100])('a voter that is late to hear of the others, messages take %i ms', (maxDelayMs) => {
  const isToLate = ({ to }: Message): boolean => to === 'a';
  const isFirm = ({ content }: Message): boolean => isMessage(content, VoteRequestSchema) && !content.probe;
  const isGranted = ({ content }: Message): boolean =>
    isMessage(content, VoteResponseSchema) && content.granted;

  /** The voter raises its term, and all are ended before anybody hears of it. */
  async function leaveTerm(): Promise<void> {
    const late = cluster.find('a');
    await endAll();
    cluster.network.isHeld = (message) => message.from === 'a' && isFirm(message);
    await cluster.startAll();
    expect(await cluster.until(() => statusOf(late)?.state === 'candidate', PATIENCE_MS)).toBe(true);
  }

  /** The voter starts last and is granted its question before the others elect a leader; the answers come after that. */
  async function bringLate(): Promise<void> {
    const { clock, network } = cluster;
    const late = cluster.find('a');
    const isOvertaken = ({ from, to }: Message): boolean => from === 'a' && to === 'f';
    network.isHeld = (message) => isToLate(message) || isOvertaken(message);
    for (const node of cluster.nodes) if (node !== late) await cluster.start(node);
    await clock.advance(100);
    await cluster.start(late);
    expect(await cluster.until(isElected, PATIENCE_MS)).toBe(true);
    // A voter that is asked only now refuses, and tells of the term of the election.
    network.isHeld = isToLate;
    network.release(isOvertaken);
    const answer = () => network.release(({ from, isAnswer }) => from === 'f' && isAnswer);
    expect(await cluster.until(() => answer().length > 0, PATIENCE_MS)).toBe(true);
    await clock.advance(ACT_MS);
    network.isHeld = (message) => isToLate(message) && !message.isAnswer;
    const granted = network.release(({ isAnswer }) => isAnswer).filter(isGranted);
    expect(granted.length).toBeGreaterThanOrEqual(quorumOf(NAMES.length) - 1);
    expect(await cluster.until(isLed, PATIENCE_MS)).toBe(true);
    await clock.advance(ACT_MS);
    network.isHeld = () => false;
    network.release();
  }

  // Guards against standing for a term that no voter was asked about, which unseats the leader of the term before.
  test('unseats nobody with the term that a refusal told it of', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      await found(seed);
      await endAll();
      cluster.network.maxDelayMs = maxDelayMs;
      await bringLate();
      failed.push(...(await judge(seed, () => reasons.length > 0)));
    }
    expect(failed).toEqual([]);
  });

  // Guards against a leader with a quorum that waits like any other after one voter had a higher term.
  test('leaves control without a leader only shortly with a term that it held before the restart', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      await found(seed);
      await leaveTerm();
      await endAll();
      cluster.network.maxDelayMs = maxDelayMs;
      await bringLate();
      failed.push(...(await judge(seed)));
    }
    expect(failed).toEqual([]);
  });
});

/** A span of time, milliseconds. */
type Span = readonly [number, number];

/** When processes begin to stand still, counted from the first confirmed leader, and for how long. */
interface Stalls {
  readonly leader: { readonly afterMs: Span; readonly forMs: Span };
  readonly voters: { readonly afterMs: Span; readonly forMs: Span };
}

const STALLS: Record<string, Stalls> = {
  'all at once': {
    leader: { afterMs: [0, 200], forMs: [400, 900] },
    voters: { afterMs: [0, 200], forMs: [400, 950] },
  },
  'the voters as the leader goes on': {
    leader: { afterMs: [0, 0], forMs: [480, 480] },
    voters: { afterMs: [550, 680], forMs: [875, 950] },
  },
};

describe.each(Object.entries(STALLS))('processes that stand still behind an election, %s', (_, stalls) => {
  /** Lets each process stand still once. Resolves when all run again. */
  async function stallAll(seed: number): Promise<void> {
    const random = seeded(seed);
    const within = ([leastMs, mostMs]: Span): number => leastMs + random() * (mostMs - leastMs);
    const leader = cluster.leader();
    const ends = cluster.nodes.map((node) => {
      const { afterMs, forMs } = node === leader ? stalls.leader : stalls.voters;
      const [begin, length] = [within(afterMs), within(forMs)];
      cluster.clock.after(begin, () => {
        cluster.stall(node, length);
      });
      return begin + length;
    });
    await cluster.clock.advance(Math.max(...ends));
  }

  // Guards against a leader that is lost, or control that stays without one, as processes are late for a second.
  test.each([100, 150])('are led again soon after it, messages take %i ms', async (maxDelayMs) => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      await found(seed);
      await endAll();
      cluster.network.maxDelayMs = maxDelayMs;
      await cluster.startAll();
      expect(await cluster.until(isLed, PATIENCE_MS)).toBe(true);
      await stallAll(seed);
      failed.push(...(await judge(seed)));
    }
    expect(failed).toEqual([]);
  });
});

describe('processes that stand still again and again', () => {
  const STALLS_EACH = 6;
  const PAUSE_MS = 300;
  const FOR_MS: Span = [100, 950];

  // Guards against a leader that gives up for want of answers which came while it stood still itself.
  test('keep their leader as long as it is answered', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      const random = seeded(seed);
      await found(seed);
      await endAll();
      for (const node of cluster.nodes) {
        let atMs = random() * PAUSE_MS;
        for (let stalls = 0; stalls < STALLS_EACH; stalls += 1) {
          const forMs = FOR_MS[0] + random() * (FOR_MS[1] - FOR_MS[0]);
          cluster.clock.after(atMs, () => {
            cluster.stall(node, forMs);
          });
          atMs += forMs + random() * PAUSE_MS;
        }
      }
      await cluster.startAll();
      await cluster.clock.advance(WATCH_MS);
      if (reasons.includes('no answers of a quorum')) failed.push(`seed ${seed.toString()}`);
      for (const node of cluster.nodes) cluster.crash(node);
      expect(cluster.violations).toEqual([]);
    }
    expect(failed).toEqual([]);
  });
});
