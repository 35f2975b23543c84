// What control costs on a node: memory by difference in one process, bytes and processor time while idle and
// under changes. The view is at the letter's size.
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { letter, share } from '../letter.mjs';
import { WorkerProcess } from '../workerProcess.mjs';

const SETTLE_MS = 3_000;
/** Multiples of the letter's rate of changes, each with the length of its run; the first also compile the code. */
const RUNS = [
  [100, 6_000],
  [30, 6_000],
  [10, 10_000],
  [1, 14_400],
  [0, 12_000],
];

const kinds = [
  { name: 'entry', role: 'entry', keeps: false },
  { name: 'entry with kept file', role: 'entry', keeps: true },
  { name: 'agent', role: 'agent', keeps: false },
];

const difference = (after, before) => ({
  live: after.live - before.live,
  resident: after.resident - before.resident,
  totalResident: after.resident,
  bareResident: before.resident,
});

function startNode({ role, keeps, name }, place, folder) {
  return { name, worker: new WorkerProcess('nodeWorker', [role, String(place), keeps ? folder : '']) };
}

/** Reads the memory of a process before its client starts and when the view is whole. */
async function openNode({ name, worker }, place, { revision, addresses }) {
  const before = await worker.ask('memory');
  await worker.ask('start', { revision, controls: [addresses[place]], instances: letter.targets });
  await wait(SETTLE_MS);
  return { name, worker, memory: difference(await worker.ask('memory'), before) };
}

/** Processor time and bytes of each node so far. */
async function readingsOf(nodes, control) {
  const bytes = await control.ask('bytes');
  const processors = await Promise.all(nodes.map(({ worker }) => worker.ask('processor')));
  return processors.map((reading, place) => ({ ...reading, bytes: bytes[place] }));
}

async function run(nodes, control, multiple, ms) {
  const before = await readingsOf(nodes, control);
  const change = {
    documentsPerSecond: share.changesPerSecond * multiple,
    instancesPerSecond: share.transitionsPerSecond * multiple,
    ms,
  };
  const [counts] = await Promise.all([control.ask('change', change), wait(ms)]);
  const after = await readingsOf(nodes, control);
  return nodes.map(({ name }, place) => {
    const seconds = after[place].at - before[place].at;
    return {
      name,
      multiple,
      changesPerSecond: counts.changed / seconds,
      bytesPerSecond: (after[place].bytes - before[place].bytes) / seconds,
      coreShare: (after[place].seconds - before[place].seconds) / seconds,
    };
  });
}

/** Memory by difference, and costs by multiple of the letter's changes, for each kind of node. */
export async function measureNode() {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
  const control = new WorkerProcess('standInWorker');
  const sizes = {
    targets: letter.targets,
    services: letter.models,
    customersOfEach: Math.ceil(letter.customers / letter.models),
    clients: kinds.length,
  };
  const standIn = await control.ask('open', sizes);
  const started = kinds.map((kind, place) => startNode(kind, place, folder));
  const nodes = await Promise.all(started.map((node, place) => openNode(node, place, standIn)));
  const firstBytes = await control.ask('bytes');
  const runs = [];
  for (const [multiple, ms] of RUNS) runs.push(...(await run(nodes, control, multiple, ms)));
  await Promise.all([control, ...nodes.map(({ worker }) => worker)].map((worker) => worker.stop()));
  rmSync(folder, { recursive: true });
  const byName = (values) => Object.fromEntries(kinds.map(({ name }, place) => [name, values[place]]));
  return {
    memory: byName(nodes.map(({ memory }) => memory)),
    firstBytes: byName(firstBytes),
    instanceBytes: standIn.instanceBytes,
    runs,
  };
}
