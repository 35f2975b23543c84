// The tables of docs/CAPACITY.md, by marker.
import * as budget from './budget.mjs';
import { bytes, cores, figure, table } from './format.mjs';
import { claimsPerSecond, letter, share } from './letter.mjs';
import { verdictRows } from './verdicts.mjs';

const HOUR = 3_600;
const WINDOWS = [
  ['10 minutes', 600],
  ['1 hour', HOUR],
  ['24 hours', 24 * HOUR],
];
/** Orders of magnitude below which a series is marked as short; 1.9 leaves room for counts that don't divide. */
const LEAST_ORDERS = 1.9;

const holds = (value, limit) => (value <= limit ? 'within' : `**${figure(value / limit)} times the budget**`);

function runTable({ run }) {
  return table(
    ['', ''],
    [
      ['Command', '`npm run capacity`'],
      ['Day', run.day],
      ['Commit', `${run.commit}${run.changed ? ', with changes not yet committed' : ''}`],
      ['Machine', `${run.cores} cores, ${bytes(run.memory)}, Node ${run.node}, Linux, loopback`],
      ['Load average at the start and end', `${figure(run.loadBefore)} and ${figure(run.loadAfter)}`],
      ['Length', `${figure(run.seconds)} s`],
    ],
  );
}

function slopeRow({ what, against, unit, scale = 1, points, fit, orders, mechanism }) {
  const xs = points.map(([x]) => x);
  const note = orders < LEAST_ORDERS || points.length < 4 ? ' (short)' : '';
  return [
    what,
    `${figure(fit.slope * scale)} ± ${figure(fit.slopeError * scale)} ${unit}`,
    `${points.length} of ${figure(Math.min(...xs))} to ${figure(Math.max(...xs))} ${against}${note}`,
    fit.r2.toFixed(3),
    `\`${mechanism}\``,
  ];
}

function slopesTable(results, series) {
  const rows = Object.values(series).map(slopeRow);
  return table(['What', 'Slope ± its standard error', 'Points', 'R²', 'Mechanism'], rows);
}

function nodeTable(results, series) {
  return ['entry', 'agent']
    .map((name) => {
      const cost = budget.nodeCost(results, series, name);
      const { memory } = cost;
      const rows = [
        ['Processor time', '2.9 % of a core', cores(cost.idleCore), cores(cost.core.value), holds(cost.core.value, letter.coreShare)],
        ['Bytes, both ways', '3 KB/s', `${bytes(cost.idleBytes)}/s`, `${bytes(cost.bytes.value)}/s`, holds(cost.bytes.value, letter.controlBytesPerSecond)],
        ['Memory: live bytes', '32 MB', '', bytes(memory.live), holds(memory.live, letter.controlBytes)],
        ['Memory: resident', '32 MB', '', bytes(memory.resident), holds(memory.resident, letter.controlBytes)],
        ['The process before the client starts', '', '', bytes(memory.bareResident), 'not control'],
        ['The process with it', '', '', bytes(memory.totalResident), `${figure(memory.totalResident / letter.controlBytes)} times 32 MB`],
      ];
      const head = [`Control's part in an ${name}`, 'Budget', 'No changes', 'At the letter’s changes', 'Verdict'];
      return table(head, rows);
    })
    .join('\n\n');
}

function entryTable(results, series) {
  const cost = budget.entryCost(results, series);
  const node = budget.nodeCost(results, series, 'entry');
  return table(
    ['What an entry has', 'At full size', 'Mechanism', 'When it fails'],
    [
      ['State: targets, customers, documents', `${bytes(cost.view)} live`, '`packages/directory/src/client`', 'Kept file and neighbours; the view grows old, gates refuse what is wrong'],
      ['Messages: beat and heartbeat', `${figure(2)} a second, ${bytes(node.bytes.value)}/s`, '`packages/directory/src/client`', 'Moves to another control instance after 2.5 s of silence'],
      ['Messages: claims', `${figure(cost.claims)} a second, ${bytes(cost.claimBytes)}/s`, '`packages/entry/src/claim`', 'Refused as not run; routing of the rest goes on'],
      ['Messages: probes', `${figure(cost.probesPerRequest * share.requestsPerNode)} a second`, '`packages/routing/src/policy`', 'Decides with the answers that came within 50 ms'],
      ['Decision: chain, choice, bookkeeping', `${figure(cost.decisionMicros)} µs a request with ${figure(share.targetsPerModel)} targets`, '`packages/routing/src/policy`, `prefix`', 'Next candidate of the order'],
      [`Requests: ${figure(share.requestsPerNode)} a second`, cores(cost.requestCore), '`packages/entry/src/work`, `http`', 'Refused early as not run, or tried again within the retry budget'],
      [`Chunks: ${figure(share.chunksPerNode)} a second`, `${cores(cost.chunkCore)} ± ${figure(cost.chunkError * 100)}`, '`packages/entry/src/answer`, `gate`', 'Resumed at the gate, continued elsewhere, or an error inside the stream'],
    ],
  );
}

function agentTable(results, series) {
  const cost = budget.agentCost(results, series);
  const node = budget.nodeCost(results, series, 'agent');
  return table(
    ['What an agent has', 'At full size', 'Mechanism', 'When it fails'],
    [
      [`State: ${figure(share.blocksPerTarget)} cached blocks`, bytes(cost.index), '`packages/routing/src/blockIndex`', 'Gap or restart: dropped, then read anew from a snapshot'],
      [`Messages: ${figure(share.eventsPerTarget)} cache events a second`, cores(cost.eventCore), '`packages/agent/src/watch`, `packages/routing/src/blockIndex`', 'What a gap leaves unvouched is dropped'],
      ['Messages: beat and heartbeat', `${figure(2)} a second, ${bytes(node.bytes.value)}/s`, '`packages/directory/src/client`', 'Another control instance; listed as suspect after 1.6 s, down after 2.6 s'],
      ['Lookup of a prompt of 500 blocks', `${figure(cost.lookupMicros)} µs`, '`packages/routing/src/blockIndex`', 'Counts as not cached'],
      [`Requests: ${figure(share.requestsPerTarget)} a second, with probes`, cores(cost.requestCore), '`packages/agent/src/gate`', 'Refused by the gate as not run'],
      [`Chunks: ${figure(share.chunksPerTarget)} a second`, `${cores(cost.chunkCore)} ± ${figure(cost.chunkError * 100)}`, '`packages/agent/src/gate`', 'Kept for the entry, resumed by ordinal'],
      [`Memory: ${figure(share.streamsPerTarget)} open streams`, bytes(cost.streams), '`packages/agent/src/gate`', 'A run over its buffer waits for its reader'],
      ['Memory: the whole process under load', bytes(cost.resident), '', ''],
    ],
  );
}

function controlTable(results, series) {
  const cost = budget.controlCost(results, series);
  const delays = results.control.changes.delays;
  const last = results.control.claims.at(-1);
  return table(
    ['What one of 8 control instances has', 'At full size', 'Mechanism', 'When it fails'],
    [
      [`State: documents with ${figure(letter.customers)} customers`, bytes(cost.documents), '`packages/control/src/documents`', 'On the disk of a quorum; an empty disk is refilled by the leader before it votes'],
      [`Watchers: ${figure(share.watchersPerControl)}, each with a beat a second`, `${cores(cost.watcherCore.value)} ± ${figure(cost.watcherCore.error * 100)}; ${bytes(cost.watcherBytes.value)}/s`, '`packages/directory/src/server`, `membership`', 'They move to the other seven'],
      ['The same with one of 8 lost', cores(cost.watcherCoreOneLost.value), '', ''],
      ['Exchange with each other instance, nothing changing', `${cores(cost.exchangeCore)}; ${bytes(cost.exchangeBytes)}/s`, '`packages/directory/src/membership`', 'Its members count as orphans after 1.5 s, and have 5 s to be heard elsewhere'],
      [`Changes: ${figure(share.changesPerSecond)} a second`, cores(cost.changeCore), '`packages/control/src/documents`', 'Refused without a quorum'],
      ['Change, from sending it to force at the last entry', delays.length === 0 ? 'not measured' : `p50 ${figure(delays[Math.floor(delays.length / 2)])} ms, worst ${figure(delays.at(-1))} ms of ${delays.length}`, '`packages/directory/src/server`', 'Watchers of an instance out of touch leave it'],
      [`Claims: ${figure(claimsPerSecond)} a second, leader`, `${cores(cost.leaderCore.value)} ± ${figure(cost.leaderCore.error * 100)}`, '`packages/control/src/claims`, `packages/coordination/src/agreement`', 'A new leader is elected; claims wait up to 3 s'],
      ['The same, each follower', cores(cost.followerCore.value), '`packages/coordination/src/agreement`', 'Goes on with a quorum of the rest'],
      [`Claim latency at ${figure(last.perSecond)} claims/s, done`, `p50 ${figure(last.p50)} ms, p99 ${figure(last.p99)} ms; ${last.failed} failed`, '', ''],
      ['Memory: the process without watchers', bytes(results.control.bareResident), '', ''],
      ['Memory: with its watchers, without claims', bytes(cost.resident.value), '', ''],
    ],
  );
}

function claimsTable(results, series) {
  const rows = WINDOWS.map(([name, seconds]) => {
    const { held, settled, snapshot, withinDefault } = budget.claimMemory(series, seconds);
    return [name, figure(held), bytes(settled.value), bytes(settled.error), bytes(snapshot), withinDefault ? 'yes' : 'no: more are refused'];
  });
  const head = ['Window', 'Claims held', 'Memory on each instance', 'Error of the slope', 'Snapshot', 'Within the default of 1,000,000'];
  return table(head, rows);
}

function lossesTable(results) {
  const rows = budget.losses(results).map(({ name, nodes, targets, listedBytes, returnBytes }) => [
    name,
    figure(nodes),
    figure(targets),
    bytes(listedBytes),
    bytes(returnBytes),
    `${figure(returnBytes / letter.controlInstances / 1e6)} MB`,
  ]);
  const churn = bytes(budget.churnBytes(results));
  const head = ['Lost', 'Entries', 'Targets', 'Told to each entry', 'Sent when all return empty', 'of it by each of 8 control instances'];
  return `${table(head, rows)}\n\n${figure(letter.failuresPerDay + letter.restartsPerDay)} failures and restarts a day, as four changes of state each, cost each entry ${churn} a second.`;
}

function latencyTable({ stream }) {
  const row = (name, report) => [
    name,
    ...[report.firstTokenMs.p50, report.firstTokenMs.p95, report.tokenGapMs.p50, report.tokenGapMs.p95].map(figure),
  ];
  const rows = [
    row(`direct, one engine, 20 tokens`, stream.direct),
    ...stream.byChunks.map((point) => row(`through an entry, ${figure(point.chunks / point.elapsedSeconds)} chunks/s, ${point.complete} of ${point.requests} complete`, point)),
  ];
  const head = [`${figure(share.requestsPerNode)} requests/s, engines with a step of ${stream.stepMs} ms`, 'First token p50 ms', 'p95 ms', 'Token gap p50 ms', 'p95 ms'];
  return table(head, rows);
}

export const tables = {
  run: runTable,
  verdicts: (results, series) => table(['The letter', 'Verdict', 'Ground'], verdictRows(results, series)),
  slopes: slopesTable,
  node: nodeTable,
  entry: entryTable,
  agent: agentTable,
  control: controlTable,
  claims: claimsTable,
  losses: lossesTable,
  latency: latencyTable,
};
