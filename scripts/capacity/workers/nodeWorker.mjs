// One process of the system with nothing in it but what control costs: measured before and after the client starts.
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { DirectoryClient, serveDirectory, viewSource } from '@jasmineroute/directory';
import { Peers, listen } from '@jasmineroute/protocol';
import { agentInstance } from '../../../packages/directory/dist/fixture/index.js';
import { liveBytes } from '../meter.mjs';
import { answerQuestions } from '../workerProcess.mjs';

const SETTLE_ROUNDS = 600;
const ROUND_MS = 100;
const MEMORY_ROUNDS = 5;
const MEMORY_ROUND_MS = 1_500;

const [role, place, folder] = process.argv.slice(2);
let client;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The least of several readings: what collection frees goes back to the system some time later. */
async function memory() {
  const readings = [];
  for (let round = 0; round < MEMORY_ROUNDS; round += 1) {
    await sleep(MEMORY_ROUND_MS);
    const live = await liveBytes();
    readings.push({ live, resident: process.memoryUsage().rss });
  }
  const least = (name) => Math.min(...readings.map((reading) => reading[name]));
  return { live: least('live'), resident: least('resident') };
}

async function settled({ revision, instances }) {
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    const view = client.view();
    if (Number(view.revision) >= revision && (role === 'agent' || view.instances.size >= instances)) return;
    await sleep(ROUND_MS);
  }
  throw new Error('the view is not whole in time');
}

answerQuestions({
  memory,
  async start({ controls, revision, instances }) {
    const own = agentInstance(Number(place));
    client = new DirectoryClient({
      name: `${role}-${place}`,
      incarnation: 1n,
      role,
      controls,
      peers: new Peers(),
      clock: systemClock,
      log: silentLog,
      metrics: silentMetrics,
      includeInstances: role === 'entry',
      services: role === 'entry' ? undefined : [own.target.service],
      folder: folder === '' ? undefined : folder,
    });
    const server = await listen('127.0.0.1', 0, (router) => {
      serveDirectory(router, viewSource(client, systemClock));
    });
    const target = role === 'agent' ? own.target : undefined;
    await client.start(() => ({ address: server.address, dataCentre: 'dc-0', target }));
    await settled({ revision, instances });
  },
  processor() {
    const { user, system } = process.cpuUsage();
    return { seconds: (user + system) / 1e6, at: performance.now() / 1_000 };
  },
});
