// Real control instances: one with watchers and changes of documents, then three with claims.
import { randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { createClient } from '@connectrpc/connect';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import { Cluster } from '@jasmineroute/testkit';
import { modelDocument, operatorKey } from '../documentText.mjs';
import { claimsPerSecond, letter, share } from '../letter.mjs';
import { ratesOver, residentBytes } from '../meter.mjs';
import { WorkerProcess } from '../workerProcess.mjs';

const REPLICAS = 3;
const WATCHER_PROCESSES = 2;
/** Watchers of one control instance; the letter's 658 are extrapolated to: this machine has other work to do. */
const WATCHERS = [2, 10, 30, 100, 300];
/** Changes of documents are made with this many watchers. */
const WATCHERS_OF_CHANGES = 100;
const APPLY_TRIES = 5;
const SETTLE_MS = 3_000;
const WATCH_MS = 6_000;
/** Changes of documents a second; the letter's rate is 0.14. */
const CHANGE_RATES = [0.14, 1.4, 4, 14];
const CHANGE_MS = 7_000;
const CLAIM_RATES = [9, 87, 290, claimsPerSecond];
const CLAIM_MS = 5_000;
const CUSTOMERS_OF_EACH = Math.ceil(letter.customers / letter.models);

const mean = (values) => values.reduce((total, value) => total + value, 0) / values.length;
const machineMs = () => Number(process.hrtime.bigint()) / 1e6;

function startCluster(folder, replicas, documents) {
  const names = Array.from({ length: replicas }, (_, place) => `control-${place + 1}`);
  return Cluster.start({
    folder,
    controls: names.map((name, place) => ({ name, dataCentre: `dc-${place}` })),
    entries: [],
    targets: [],
    documents: Array.from({ length: documents }, (_, place) =>
      modelDocument(`service-${place}`, CUSTOMERS_OF_EACH, 1),
    ),
    links: 'direct',
    logLevel: 'warn',
  });
}

/** Adds watchers until there are `wanted` in all; entries and agents in the letter's proportion. */
async function growTo(wanted, held, workers, controls) {
  const more = wanted - held;
  const entries = Math.max(1, Math.round((more * letter.nodes) / share.processes / workers.length));
  const agents = Math.max(0, Math.round(more / workers.length) - entries);
  const request = { entries, agents, controls, revision: letter.models };
  await Promise.all(workers.map((worker) => worker.ask('grow', request)));
  return held + (entries + agents) * workers.length;
}

/** Points up to where the machine could still carry the watchers; `problem` says why there are no more. */
async function measureWatchers(pids, workers, controls) {
  const points = [];
  let held = 0;
  let changes;
  for (const wanted of WATCHERS) {
    try {
      held = await growTo(wanted, held, workers, controls);
    } catch (error) {
      return { points, changes, problem: `${wanted} watchers: ${error.message.split('\n')[0]}` };
    }
    await wait(SETTLE_MS);
    const rates = await ratesOver(pids, WATCH_MS);
    points.push({
      watchers: held,
      processor: mean(rates.processor),
      bytes: mean(rates.sent) + mean(rates.received),
      resident: mean(pids.map((pid) => residentBytes(pid))),
    });
    console.error(`control: ${JSON.stringify(points.at(-1))}`);
    if (wanted === WATCHERS_OF_CHANGES) changes = await measureChanges(pids, workers, controls[0]);
  }
  return { points, changes };
}

/** A resend carries the same id, so that it gets the first answer. */
async function applied(client, request, tries = APPLY_TRIES) {
  try {
    return await client.apply(request);
  } catch (error) {
    if (tries <= 1) throw error;
    return applied(client, request, tries - 1);
  }
}

async function changeOnce(client, service, versions) {
  const version = versions.get(service) ?? 1;
  versions.set(service, version + 1);
  const at = machineMs();
  const { outcome } = await applied(client, {
    service,
    text: modelDocument(service, CUSTOMERS_OF_EACH, version + 1).text,
    baseVersion: BigInt(version),
    applyId: randomUUID(),
    key: operatorKey(service),
    operator: 'lead',
  });
  if (outcome.case !== 'accepted') throw new Error(`a change was not accepted: ${outcome.case}`);
  return { revision: Number(outcome.value.revision), at };
}

/**
 * Accepts changes evenly, those of one service one after the other, since each names the version before it.
 * Gives each revision with the time at which its change was sent.
 */
async function applyChanges(client, perSecond, ms, versions) {
  const wanted = Math.max(1, Math.round((perSecond * ms) / 1_000));
  const chains = new Map();
  const sent = [];
  for (let turn = 0; turn < wanted; turn += 1) {
    await wait(ms / wanted);
    const service = `service-${turn % letter.models}`;
    const before = chains.get(service) ?? Promise.resolve();
    const change = before.then(async () => sent.push(await changeOnce(client, service, versions)));
    // Heard of below; without this a rejection in between would end the process.
    change.catch(() => undefined);
    chains.set(service, change);
  }
  await Promise.all(chains.values());
  return sent;
}

/** Time from sending a change to its being in force at the last entry, milliseconds. */
async function inForceTimes(sent, workers) {
  const reports = await Promise.all(workers.map((worker) => worker.ask('reached')));
  return sent.flatMap(({ revision, at }) => {
    const times = reports.map((report) => report[revision]?.at).filter((time) => time !== undefined);
    return times.length < workers.length ? [] : [Math.max(...times) - at];
  });
}

async function measureChanges(pids, workers, address) {
  const client = createClient(controlMessage.Documents, new Peers().transport(address));
  const versions = new Map();
  const points = [];
  const delays = [];
  for (const perSecond of CHANGE_RATES) {
    let sent = [];
    const rates = await ratesOver(pids, CHANGE_MS, async () => {
      sent = await applyChanges(client, perSecond, CHANGE_MS, versions);
    });
    points.push({
      perSecond: sent.length / rates.seconds,
      processor: mean(rates.processor),
      bytes: mean(rates.sent) + mean(rates.received),
    });
    await wait(1_000);
    delays.push(...(await inForceTimes(sent, workers)));
  }
  return { watchers: WATCHERS_OF_CHANGES, points, delays: delays.sort((a, b) => a - b) };
}

async function measureClaims(pids, controls) {
  const worker = new WorkerProcess('claimWorker');
  await worker.ask('open', { controls });
  await worker.ask('run', { perSecond: 200, ms: 2_000 });
  const points = [];
  for (const perSecond of CLAIM_RATES) {
    let result;
    const rates = await ratesOver([worker.pid, ...pids], CLAIM_MS, async () => {
      result = await worker.ask('run', { perSecond, ms: CLAIM_MS });
    });
    const [, ...processor] = rates.processor;
    points.push({
      perSecond: result.done / rates.seconds,
      failed: result.failed,
      p50: result.p50,
      p99: result.p99,
      leader: Math.max(...processor),
      follower:
        (processor.reduce((total, value) => total + value, 0) - Math.max(...processor)) / (REPLICAS - 1),
      clientBytes: rates.sent[0] + rates.received[0],
    });
  }
  await worker.stop();
  return points;
}

/** A started cluster's control instances, given to `work`; stopped afterwards. */
async function withControls(replicas, documents, work) {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-control-'));
  const cluster = await startCluster(folder, replicas, documents);
  try {
    const pids = cluster.role('control').map((member) => member.process.pid);
    return await work(pids, cluster.controls.split(','));
  } finally {
    await cluster.stop(0);
    rmSync(folder, { recursive: true, force: true });
  }
}

async function measureFanOut(pids, controls) {
  const workers = Array.from(
    { length: WATCHER_PROCESSES },
    (_, place) => new WorkerProcess('watcherWorker', [`w${place}`]),
  );
  try {
    const bareResident = mean(pids.map((pid) => residentBytes(pid)));
    const alone = await ratesOver(pids, WATCH_MS);
    const watchers = await measureWatchers(pids, workers, controls);
    return {
      bareResident,
      aloneProcessor: mean(alone.processor),
      watchers: watchers.points,
      watchersProblem: watchers.problem,
      changes: watchers.changes,
    };
  } finally {
    await Promise.all(workers.map((worker) => worker.stop()));
  }
}

/** Costs of one control instance against watchers, changes and claims. */
export async function measureControl() {
  const fanOut = await withControls(1, letter.models, measureFanOut);
  const replicated = await withControls(REPLICAS, 0, async (pids, controls) => {
    await wait(SETTLE_MS);
    const idle = await ratesOver(pids, WATCH_MS);
    return {
      replicas: REPLICAS,
      idleProcessor: mean(idle.processor),
      idleBytes: mean(idle.sent) + mean(idle.received),
      claims: await measureClaims(pids, controls),
    };
  });
  return { ...fanOut, ...replicated };
}
