// Many directory clients in one process, as entries and agents are at the control instances.
import { createServer } from 'node:net';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { DirectoryClient } from '@jasmineroute/directory';
import { Peers } from '@jasmineroute/protocol';
import { agentInstance } from '../../../packages/directory/dist/fixture/index.js';
import { answerQuestions } from '../workerProcess.mjs';

const ROUND_MS = 50;
const WHOLE_ROUNDS = 900;
/** Clients that are started together, and the pause after them: a herd is measured elsewhere. */
const TOGETHER = 20;
const PAUSE_MS = 500;
const [prefix] = process.argv.slice(2);

const clients = [];
const reached = new Map();
let address;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** The machine's monotonic clock, the same in all processes. */
const machineMs = () => Number(process.hrtime.bigint()) / 1e6;

/** Suspects are tried at their address, so something must listen there. */
async function openAddress() {
  const server = createServer((socket) => socket.destroy());
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${server.address().port}`;
}

/** Notes when a revision came into force at the last entry so far. */
function note(revision) {
  const known = reached.get(revision) ?? { count: 0 };
  reached.set(revision, { count: known.count + 1, at: machineMs() });
}

async function startClient(place, role, controls) {
  const own = agentInstance(place);
  const client = new DirectoryClient({
    name: `${prefix}-${role}-${place}`,
    incarnation: 1n,
    role,
    controls,
    peers: new Peers(),
    clock: systemClock,
    log: silentLog,
    metrics: silentMetrics,
    includeInstances: role === 'entry',
    services: role === 'entry' ? undefined : [own.target.service],
  });
  let last = -1n;
  client.onChange(({ revision }) => {
    if (role !== 'entry' || revision === last) return;
    last = revision;
    note(Number(revision));
  });
  const target = role === 'agent' ? own.target : undefined;
  await client.start(() => ({ address, dataCentre: `dc-${place % 15}`, target }));
  clients.push(client);
}

answerQuestions({
  async grow({ entries, agents, controls, revision }) {
    address ??= await openAddress();
    const before = clients.length;
    for (let place = 0; place < entries + agents; place += 1) {
      await startClient(before + place, place < entries ? 'entry' : 'agent', controls);
      if ((place + 1) % TOGETHER === 0) await sleep(PAUSE_MS);
    }
    for (let round = 0; round < WHOLE_ROUNDS; round += 1) {
      if (clients.every((client) => Number(client.view().revision) >= revision)) return;
      await sleep(ROUND_MS);
    }
    const behind = clients.filter((client) => Number(client.view().revision) < revision);
    throw new Error(`${behind.length} of ${clients.length} watchers lack documents`);
  },
  reached: () => Object.fromEntries(reached),
  instances: () => Math.max(0, ...clients.map((client) => client.view().instances.size)),
});
