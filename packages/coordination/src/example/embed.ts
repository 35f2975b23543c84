/** Embeds the replicated log: three replicas on this machine, each with its own folder and port. */
import { join } from 'node:path';
import { silentLog, systemClock } from '@jasmineroute/core';
import { ReplicatedLog } from '../agreement/index.js';
import type { ReplicaAddress } from '../agreement/index.js';
import { LoopbackConnections, listenOnLoopback } from '../loopback/index.js';
import { WordCounter } from './wordCounter.js';

/** One running replica. */
export interface RunningReplica {
  readonly log: ReplicatedLog;
  readonly counter: WordCounter;
  stop(): Promise<void>;
}

/** Opens, serves and starts one replica. @throws Error when its folder can't be opened. */
export async function startReplica(
  replica: ReplicaAddress,
  initialReplicas: readonly ReplicaAddress[],
  folder: string,
): Promise<RunningReplica> {
  const connections = new LoopbackConnections();
  const counter = new WordCounter();
  const opened = await ReplicatedLog.open({
    name: replica.name,
    folder: join(folder, replica.name),
    initialReplicas,
    connect: connections.connect,
    drop: connections.drop,
    clock: systemClock,
    log: silentLog,
    stateMachine: counter,
  });
  if (opened.isErr()) throw new Error(opened.error.message);
  const log = opened.value;
  const port = Number(replica.address.split(':')[1]);
  const server = await listenOnLoopback((router) => {
    log.routes(router);
  }, port);
  await log.start(server.address);
  const stop = async (): Promise<void> => {
    await log.close();
    connections.close();
    await server.close();
  };
  return { log, counter, stop };
}

/** Finds free ports for replicas. */
export async function chooseAddresses(names: readonly string[]): Promise<ReplicaAddress[]> {
  const servers = await Promise.all(names.map(() => listenOnLoopback(() => undefined)));
  const addresses = names.map((name, position) => ({ name, address: servers[position]?.address ?? '' }));
  await Promise.all(servers.map((server) => server.close()));
  return addresses;
}

/** Counts a word through one replica. Returns the new count, or the reason for the failure. */
export async function countWord(replica: RunningReplica, word: string): Promise<string> {
  const result = await replica.log.propose(Buffer.from(word), 10_000);
  return result.match(
    (count) => Buffer.from(count).toString(),
    (fault) => `${fault.message} (${fault.ran})`,
  );
}
