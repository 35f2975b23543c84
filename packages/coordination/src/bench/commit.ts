/**
 * Measures commit latency and throughput of the replicated log, with and without group commit, and of ballot registers.
 * All replicas run in this process, with real loopback sockets and files; syncs take at least the given time.
 *
 * Run: `npm run build && node packages/coordination/dist/bench/commit.js [folder]`.
 */
import { mkdir, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { silentLog, systemClock } from '@jasmineroute/core';
import { ReplicatedLog } from '../agreement/index.js';
import { LoopbackConnections, listenOnLoopback } from '../loopback/index.js';
import { delayedDisk, fileDisk } from '../storage/index.js';
import { Acceptor, Proposer } from './ballotRegister.js';
import { measure } from './load.js';
import type { Measurement } from './load.js';

const SYNC_DELAYS_MS = [0.1, 1, 5];
const SIZES = [3, 5];
const COMMAND = Buffer.alloc(256, 'x');
const LEADER_WAIT_MS = 20_000;

/** One case of the table. */
interface Case {
  readonly replicas: number;
  readonly syncMs: number;
  readonly folder: string;
}

async function freeAddresses(count: number): Promise<{ name: string; address: string }[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listenOnLoopback(() => undefined)));
  const addresses = servers.map(({ address }, position) => ({ name: `r${position}`, address }));
  await Promise.all(servers.map((server) => server.close()));
  return addresses;
}

const portOf = (address: string): number => Number(address.split(':')[1]);

async function measureLog({ replicas, syncMs, folder }: Case, groupCommit: boolean): Promise<Measurement> {
  const addresses = await freeAddresses(replicas);
  const running = await Promise.all(
    addresses.map(async ({ name, address }) => {
      const connections = new LoopbackConnections();
      const opened = await ReplicatedLog.open({
        name,
        folder: join(folder, name),
        initialReplicas: addresses,
        connect: connections.connect,
        drop: connections.drop,
        clock: systemClock,
        log: silentLog,
        stateMachine: { apply: () => COMMAND, snapshot: () => COMMAND, restore: () => undefined },
        disk: delayedDisk(fileDisk, syncMs),
        groupCommit,
      });
      const log = opened._unsafeUnwrap();
      const server = await listenOnLoopback((router) => {
        log.routes(router);
      }, portOf(address));
      await log.start(address);
      return { log, server, connections };
    }),
  );
  const leader = await leaderOf(running.map(({ log }) => log));
  const figures = await measure(async () => {
    (await leader.propose(COMMAND, LEADER_WAIT_MS))._unsafeUnwrap();
  });
  await Promise.all(
    running.map(async ({ log, server, connections }) => {
      await log.close();
      connections.close();
      await server.close();
    }),
  );
  return figures;
}

async function leaderOf(logs: readonly ReplicatedLog[]): Promise<ReplicatedLog> {
  const end = performance.now() + LEADER_WAIT_MS;
  while (performance.now() < end) {
    const leader = logs.find((log) => log.status().state === 'leader' && log.status().vouched);
    if (leader !== undefined) return leader;
    await systemClock.sleep(20);
  }
  throw new Error('no leader');
}

async function measureRegister(
  { replicas, syncMs, folder }: Case,
  reusesPromises: boolean,
): Promise<Measurement> {
  const connections = new LoopbackConnections();
  const acceptors = await Promise.all(
    Array.from({ length: replicas }, (_, position) => Acceptor.open(join(folder, `r${position}`), syncMs)),
  );
  const servers = await Promise.all(
    acceptors.map((acceptor) =>
      listenOnLoopback((router) => {
        acceptor.routes(router);
      }),
    ),
  );
  const [localAcceptor] = acceptors;
  if (localAcceptor === undefined) throw new Error('no acceptor');
  const others = servers.slice(1).map(({ address }) => address);
  const proposer = new Proposer(localAcceptor, others, connections, reusesPromises);
  const value = COMMAND.toString();
  const figures = await measure((client) => proposer.change(`key-${client}`, value));
  connections.close();
  await Promise.all(servers.map((server) => server.close()));
  await Promise.all(acceptors.map((acceptor) => acceptor.close()));
  return figures;
}

const variants = {
  'log, group commit': (benchCase: Case) => measureLog(benchCase, true),
  'log, one by one': (benchCase: Case) => measureLog(benchCase, false),
  'register, two rounds': (benchCase: Case) => measureRegister(benchCase, false),
  'register, kept promise': (benchCase: Case) => measureRegister(benchCase, true),
};

async function run(root: string): Promise<void> {
  process.stdout.write(
    '| variant | replicas | sync ms | p50 ms | p99 ms | commits/s |\n|---|---|---|---|---|---|\n',
  );
  for (const replicas of SIZES) {
    for (const syncMs of SYNC_DELAYS_MS) {
      for (const [variant, measureVariant] of Object.entries(variants)) {
        const folder = join(root, `${variant.replaceAll(/\W+/g, '-')}-${replicas}-${syncMs}`);
        await mkdir(folder);
        const { p50Ms, p99Ms, perSecond } = await measureVariant({ replicas, syncMs, folder });
        const figures = [p50Ms.toFixed(2), p99Ms.toFixed(2), perSecond.toFixed(0)];
        process.stdout.write(`| ${[variant, replicas, syncMs, ...figures].join(' | ')} |\n`);
        await rm(folder, { recursive: true, force: true });
      }
    }
  }
}

const root = process.argv[2] ?? (await mkdtemp(join(tmpdir(), 'coordination-bench-')));
await run(root);
