/** Leaders newly elected after a restart of all replicas. */
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

/** Longest acceptable time without a confirmed leader, milliseconds: the shortest election timeout of a follower. */
const { electionMinMs: MAX_GAP_MS } = tuning.parse({});

/** Time during which no replica runs, milliseconds: longer than the delay of any message. */
const DOWNTIME_MS = 1_000;

/** Timeout when waiting for a leader, milliseconds. */
const LEADER_TIMEOUT_MS = 10_000;

/** Time for which the cluster is observed, milliseconds. */
const WATCH_MS = 8_000;

/** Interval between observations, milliseconds. */
const POLL_MS = 10;

/** Longest time that a replica takes to act on an answer, including its sync, milliseconds. */
const REACTION_MS = 50;

let cluster: MemoryCluster;
/** Reasons for which leaders stepped down since all replicas were crashed. */
let stepDownReasons: string[];

const log: Log = {
  event: ({ id }, fields) => {
    if (id === coordinationEvents.steppedDown.id) stepDownReasons.push(String(fields?.reason));
  },
  with: () => log,
};

const hasLeader = (): boolean => cluster.leader() !== undefined;

const statusOf = ({ replica }: Node) => replica?.status();

const isElected = (): boolean => cluster.nodes.some((node) => statusOf(node)?.state === 'leader');

/** Starts a new cluster and waits for a leader. */
async function startCluster(seed: number): Promise<void> {
  stepDownReasons = [];
  cluster = new MemoryCluster(seed, NAMES, {}, log);
  await cluster.startAll();
  expect(await cluster.until(hasLeader, LEADER_TIMEOUT_MS)).toBe(true);
}

/** Crashes all replicas at once. */
async function crashAll(): Promise<void> {
  for (const node of cluster.nodes) cluster.crash(node);
  await cluster.clock.advance(DOWNTIME_MS);
  stepDownReasons = [];
}

/** Observes the cluster. @returns the longest time without a confirmed leader, milliseconds. */
async function longestGap(): Promise<number> {
  let longestMs = 0;
  let ledAt = cluster.clock.monotonic();
  const end = ledAt + WATCH_MS;
  while (cluster.clock.monotonic() < end) {
    await cluster.clock.advance(POLL_MS);
    const now = cluster.clock.monotonic();
    if (hasLeader()) ledAt = now;
    longestMs = Math.max(longestMs, now - ledAt);
  }
  return longestMs;
}

/** Finishes a run. @returns its description if there was no leader for too long or `isFailure` holds, else nothing. */
async function failuresOf(seed: number, isFailure = (): boolean => false): Promise<string[]> {
  const gapMs = await longestGap();
  const isFailed = gapMs > MAX_GAP_MS || isFailure();
  const failure = `seed ${seed.toString()}: ${gapMs.toString()} ms without a leader (${stepDownReasons.join(', ')})`;
  for (const node of cluster.nodes) cluster.crash(node);
  expect(cluster.violations).toEqual([]);
  return isFailed ? [failure] : [];
}

describe.each([10, 100])('a voter that receives messages late, with delays up to %i ms', (maxDelayMs) => {
  const isToLateVoter = ({ to }: Message): boolean => to === 'a';
  const isBindingVoteRequest = ({ content }: Message): boolean =>
    isMessage(content, VoteRequestSchema) && !content.probe;
  const isGrantedVote = ({ content }: Message): boolean =>
    isMessage(content, VoteResponseSchema) && content.granted;

  /** The voter raises its term, and all replicas crash before any of them learns of the new term. */
  async function raiseTermOfLateVoter(): Promise<void> {
    const late = cluster.find('a');
    await crashAll();
    cluster.network.isHeld = (message) => message.from === 'a' && isBindingVoteRequest(message);
    await cluster.startAll();
    expect(await cluster.until(() => statusOf(late)?.state === 'candidate', LEADER_TIMEOUT_MS)).toBe(true);
  }

  /** The voter starts last and wins its pre-vote before the others elect a leader, but receives the answers after that. */
  async function startLateVoter(): Promise<void> {
    const { clock, network } = cluster;
    const late = cluster.find('a');
    const isOvertaken = ({ from, to }: Message): boolean => from === 'a' && to === 'f';
    network.isHeld = (message) => isToLateVoter(message) || isOvertaken(message);
    for (const node of cluster.nodes) if (node !== late) await cluster.start(node);
    await clock.advance(100);
    await cluster.start(late);
    expect(await cluster.until(isElected, LEADER_TIMEOUT_MS)).toBe(true);
    // A voter that receives the request only now refuses, and its answer contains the term of the election.
    network.isHeld = isToLateVoter;
    network.release(isOvertaken);
    const answer = () => network.release(({ from, isAnswer }) => from === 'f' && isAnswer);
    expect(await cluster.until(() => answer().length > 0, LEADER_TIMEOUT_MS)).toBe(true);
    await clock.advance(REACTION_MS);
    network.isHeld = (message) => isToLateVoter(message) && !message.isAnswer;
    const granted = network.release(({ isAnswer }) => isAnswer).filter(isGrantedVote);
    expect(granted.length).toBeGreaterThanOrEqual(quorumOf(NAMES.length) - 1);
    expect(await cluster.until(hasLeader, LEADER_TIMEOUT_MS)).toBe(true);
    await clock.advance(REACTION_MS);
    network.isHeld = () => false;
    network.release();
  }

  // Guards against a campaign in a term for which there was no pre-vote, which deposes the leader of the previous term.
  test('deposes no leader after a refusal with a higher term', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      await startCluster(seed);
      await crashAll();
      cluster.network.maxDelayMs = maxDelayMs;
      await startLateVoter();
      failed.push(...(await failuresOf(seed, () => stepDownReasons.length > 0)));
    }
    expect(failed).toEqual([]);
  });

  // Guards against a leader with a quorum that is deposed by the higher term of one voter and waits a full election
  // timeout.
  test('leaves the cluster without a leader only briefly if it has a higher term from before the restart', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      await startCluster(seed);
      await raiseTermOfLateVoter();
      await crashAll();
      cluster.network.maxDelayMs = maxDelayMs;
      await startLateVoter();
      failed.push(...(await failuresOf(seed)));
    }
    expect(failed).toEqual([]);
  });
});

/** Shortest and longest time, milliseconds. */
type Span = readonly [number, number];

/** When processes stall, counted from the first confirmed leader, and for how long. */
interface Stalls {
  readonly leader: { readonly afterMs: Span; readonly forMs: Span };
  readonly voters: { readonly afterMs: Span; readonly forMs: Span };
}

const STALLS: Record<string, Stalls> = {
  'all at once': {
    leader: { afterMs: [0, 200], forMs: [400, 900] },
    voters: { afterMs: [0, 200], forMs: [400, 950] },
  },
  'the voters when the leader resumes': {
    leader: { afterMs: [0, 0], forMs: [480, 480] },
    voters: { afterMs: [550, 680], forMs: [875, 950] },
  },
};

describe.each(Object.entries(STALLS))('processes that stall after an election, %s', (_, stalls) => {
  /** Stalls each process once. Resolves when all run again. */
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

  // Guards against a lost leader, or a long time without one, because processes stall for about a second.
  test.each([100, 150])(
    'have a leader again soon after, with message delays up to %i ms',
    async (maxDelayMs) => {
      const failed: string[] = [];
      for (const seed of SEEDS) {
        await startCluster(seed);
        await crashAll();
        cluster.network.maxDelayMs = maxDelayMs;
        await cluster.startAll();
        expect(await cluster.until(hasLeader, LEADER_TIMEOUT_MS)).toBe(true);
        await stallAll(seed);
        failed.push(...(await failuresOf(seed)));
      }
      expect(failed).toEqual([]);
    },
  );
});

describe('processes that stall repeatedly', () => {
  const STALLS_EACH = 6;
  const PAUSE_MS = 300;
  const FOR_MS: Span = [100, 950];

  // Guards against a leader that steps down for lack of answers that arrived while it was stalled itself.
  test('keep their leader as long as a quorum answers it', async () => {
    const failed: string[] = [];
    for (const seed of SEEDS) {
      const random = seeded(seed);
      await startCluster(seed);
      await crashAll();
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
      if (stepDownReasons.includes('no answers of a quorum')) failed.push(`seed ${seed.toString()}`);
      for (const node of cluster.nodes) cluster.crash(node);
      expect(cluster.violations).toEqual([]);
    }
    expect(failed).toEqual([]);
  });
});
