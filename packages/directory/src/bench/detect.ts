/** Measures the time from the stop of an agent until it is listed as down. */
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers } from '@jasmineroute/protocol';
import { DirectoryClient } from '../client/index.js';
import { ControlStandIn } from '../fixture/index.js';
import { tcpProbe } from '../membership/index.js';
import { machineTime } from './meter.js';
import { percentileRows } from './measure.js';
import type { Measure } from './measure.js';

const AGENTS = 24;
const STOPPED_AGENTS = 8;
/** Minimum time between two stops, in milliseconds, so that they are not detected as one mass failure. */
const STOP_INTERVAL_MS = 2_700;

interface Agent {
  readonly name: string;
  readonly client: DirectoryClient;
  readonly server: Server;
}

async function startAgent(name: string, control: string): Promise<Agent> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = new DirectoryClient({
    name,
    incarnation: 1n,
    role: 'agent',
    controls: [control],
    peers: new Peers(),
    clock: systemClock,
    log: silentLog,
    metrics: silentMetrics,
    includeInstances: false,
  });
  await client.start(() => ({ address, dataCentre: 'here' }));
  return { name, client, server };
}

/** Stops agents one after the other. With `hostGone` their host does not answer, as after a power loss. */
async function run(hostGone: boolean): Promise<number[]> {
  const probe = hostGone ? () => Promise.resolve('unreachable' as const) : tcpProbe(systemClock);
  const control = await ControlStandIn.start({ name: 'c0', probe });
  const names = Array.from({ length: AGENTS }, (_, index) => `agent-${index}`);
  const agents = await Promise.all(names.map((name) => startAgent(name, control.address)));
  await wait(3_000);
  const endedAt = new Map<string, number>();
  const delays: number[] = [];
  control.membership.onChange((changed) => {
    for (const name of changed) {
      const at = endedAt.get(name);
      if (at !== undefined && control.membership.current().get(name)?.health === 'down')
        delays.push(machineTime() - at);
    }
  });
  for (const { name, client, server } of agents.slice(0, STOPPED_AGENTS)) {
    await wait(STOP_INTERVAL_MS + 1_000 * Math.random());
    server.close();
    await client.stop();
    endedAt.set(name, machineTime());
  }
  for (let turn = 0; delays.length < STOPPED_AGENTS && turn < 100; turn += 1) await wait(100);
  for (const { client, server } of agents.slice(STOPPED_AGENTS)) {
    server.close();
    await client.stop();
  }
  await control.stop();
  return delays;
}

/** Measures detection of crashed processes, whose address refuses connections, and of unreachable hosts. */
export async function measureDetection(): Promise<Measure[]> {
  const [crashed, gone] = [await run(false), await run(true)];
  return [
    ...percentileRows('end of a process to listed as down', crashed),
    ...percentileRows('end of a host to listed as down', gone),
  ];
}
