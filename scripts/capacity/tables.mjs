// The tables of docs/CAPACITY.md, by marker.
import * as budget from './budget.mjs';
import { bytes, cores, figure, table } from './format.mjs';
import { letter, share } from './letter.mjs';
import { agentTable, controlTable, entryTable } from './roleTables.mjs';
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

function runTable({ runs }) {
  const rows = Object.entries(runs).map(([name, run]) => [
    name,
    run.day,
    `${run.commit}${run.changed ? ' and changes not yet committed' : ''}`,
    figure(run.seconds),
    `${figure(run.loadBefore)}, ${figure(run.loadAfter)}`,
  ]);
  const [{ cores: coreCount, memory, node }] = Object.values(runs);
  const head = ['Part', 'Day', 'Commit', 'Seconds', 'Load average before, after'];
  return `${coreCount} cores, ${bytes(memory)} of memory, Node ${node}, Linux, loopback.\n\n${table(head, rows)}`;
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

function coreRow(name, { idleCore, plannedCore, core }, judged = core.value) {
  const cells = [idleCore, plannedCore, core.value].map(cores);
  return [name, '2.9 % of a core', ...cells, holds(judged, letter.coreShare)];
}

function nodeRows(results, series, name) {
  const cost = budget.nodeCost(results, series, name);
  const kept = budget.keptCost(results, series);
  const { live, resident, bareResident, totalResident } = cost.memory;
  const moved = [cost.idleBytes, cost.plannedBytes, cost.bytes.value].map((value) => `${bytes(value)}/s`);
  return [
    coreRow('Processor time', cost),
    ...(name === 'entry' ? [coreRow('Processor time, with a data folder', kept, kept.plannedCore)] : []),
    ['Bytes, both ways', '3 KB/s', ...moved, holds(cost.bytes.value, letter.controlBytesPerSecond)],
    ['Memory: live bytes', '32 MB', bytes(live), '', '', holds(live, letter.controlBytes)],
    ['Memory: resident', '32 MB', bytes(resident), '', '', holds(resident, letter.controlBytes)],
    ['The process before the client starts', '', bytes(bareResident), '', '', 'not control'],
    [
      'The process with it',
      '',
      bytes(totalResident),
      '',
      '',
      `${figure(totalResident / letter.controlBytes)} times 32 MB`,
    ],
  ];
}

function nodeTable(results, series) {
  return ['entry', 'agent']
    .map((name) => {
      const rates = ['No changes', 'The letter’s changes, measured', 'The same, on the line'];
      const head = [`Control's part in an ${name}`, 'Budget', ...rates, 'Verdict'];
      return table(head, nodeRows(results, series, name));
    })
    .join('\n\n');
}

function claimsTable(results, series) {
  const rows = WINDOWS.map(([name, seconds]) => {
    const { held, settled, snapshot, withinDefault } = budget.claimMemory(series, seconds);
    return [
      name,
      figure(held),
      bytes(settled.value),
      bytes(settled.error),
      bytes(snapshot),
      withinDefault ? 'yes' : 'no: more are refused',
    ];
  });
  const head = [
    'Window',
    'Claims held',
    'Memory on each instance',
    'Error of the slope',
    'Snapshot',
    'Within the default of 1,000,000',
  ];
  return table(head, rows);
}

function lossesTable(results) {
  const rows = budget
    .losses(results)
    .map(({ name, nodes, targets, listedBytes, returnBytes }) => [
      name,
      figure(nodes),
      figure(targets),
      bytes(listedBytes),
      bytes(returnBytes),
      `${figure(returnBytes / letter.controlInstances / 1e6)} MB`,
    ]);
  const churn = bytes(budget.churnBytes(results));
  const head = [
    'Lost',
    'Entries',
    'Targets',
    'Told to each entry',
    'Sent when all return empty',
    'of it by each of 8 control instances',
  ];
  return `${table(head, rows)}\n\n${figure(letter.failuresPerDay + letter.restartsPerDay)} failures and restarts a day, as four changes of state each, cost each entry ${churn} a second.`;
}

function latencyTable({ stream }) {
  const row = (name, report) => [
    name,
    ...[report.firstTokenMs.p50, report.firstTokenMs.p95, report.tokenGapMs.p50, report.tokenGapMs.p95].map(
      figure,
    ),
  ];
  const rows = [
    row(`direct, one engine, 20 tokens`, stream.direct),
    ...[...stream.byChunks, stream.peak].map((point) =>
      row(
        `through an entry, ${figure(point.chunks / point.elapsedSeconds)} chunks/s over the run, ${point.complete} of ${point.requests} complete`,
        point,
      ),
    ),
  ];
  const head = [
    `${figure(share.requestsPerNode)} requests/s, engines with a step of ${stream.stepMs} ms`,
    'First token p50 ms',
    'p95 ms',
    'Token gap p50 ms',
    'p95 ms',
  ];
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
