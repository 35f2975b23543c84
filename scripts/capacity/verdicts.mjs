// For each figure of the letter: whether it holds, by what, and what stops it. Worked out from the results.
import * as budget from './budget.mjs';
import { bytes, cores, figure } from './format.mjs';
import { claimsPerSecond, letter, share } from './letter.mjs';

const MEASURED = 'holds by measurement';
const EXTRAPOLATED = 'holds by extrapolation';
const NOT_YET = '**does not hold yet**';
/** A process should need no more than this part of a core, so that garbage collection and bursts have room. */
const MOST_CORE = 0.7;
/** Largest part of the letter's rate that still counts as having been reached. */
const REACHED = 0.9;
const DAY_SECONDS = 86_400;

const when = (condition, verdict) => (condition ? verdict : NOT_YET);

function nodeRows(results, series) {
  const [entry, agent] = ['entry', 'agent'].map((name) => budget.nodeCost(results, series, name));
  const kept = budget.keptCost(results, series);
  const both = (pick) => Math.max(pick(entry), pick(agent));
  const pair = (write, pick) => `entry ${write(pick(entry))}, agent ${write(pick(agent))}`;
  return [
    [
      '2.9 % of a core for control on a node',
      when(
        Math.max(
          kept.plannedCore,
          both((cost) => cost.core.value),
        ) <= letter.coreShare,
        MEASURED,
      ),
      `${pair(cores, (cost) => cost.core.value)}; entry with a data folder ${cores(kept.plannedCore)}, measured at the letter's changes`,
    ],
    [
      '32 MB for control on a node',
      when(both((cost) => cost.memory.resident) <= letter.controlBytes, `${MEASURED}, by difference`),
      `resident difference: ${pair(bytes, (cost) => cost.memory.resident)}. The whole process is ${bytes(entry.memory.totalResident)}, a bare one ${bytes(entry.memory.bareResident)}: as a total it can't hold on Node`,
    ],
    [
      '3 KB/s for control on a node',
      when(both((cost) => cost.bytes.value) <= letter.controlBytesPerSecond, MEASURED),
      `${pair(
        (value) => `${bytes(value)}/s`,
        (cost) => cost.bytes.value,
      )}; claims of an entry add ${bytes(budget.entryCost(results, series).claimBytes)}/s`,
    ],
  ];
}

function loadRows(results, series) {
  const entry = budget.entryCost(results, series);
  const agent = budget.agentCost(results, series);
  const { peak } = results.stream;
  const core = entry.requestCore + entry.chunkCore;
  const whole = peak.complete === peak.requests;
  const rate = peak.chunks / peak.requests / share.tokensPerRequest;
  return [
    [
      '360 nodes before 4,900 targets',
      EXTRAPOLATED,
      `one entry's view of 4,900 targets is measured; ${figure(share.watchersPerControl)} watchers for each control instance are extrapolated from ${figure(results.control.watchers.at(-1).watchers)}`,
    ],
    [
      '8,700 requests a second',
      when(core <= MOST_CORE, EXTRAPOLATED),
      `${figure(share.requestsPerNode)} a second at one entry: ${peak.complete} of ${peak.requests} whole; processor time ${cores(core)} with the chunks`,
    ],
    [
      '1.9 million tokens a second',
      when(whole && rate >= REACHED && core <= MOST_CORE, EXTRAPOLATED),
      `${figure(share.chunksPerNode)} chunks a second at one entry cost ${cores(entry.chunkCore)}, ${figure(share.chunksPerTarget)} at one agent ${cores(agent.chunkCore)}`,
    ],
    [
      'First token within 0.61 s for 95 in 100',
      when(peak.firstTokenMs.p95 <= letter.firstTokenMs, 'holds by measurement at one entry, with stand-ins'),
      `p95 ${figure(peak.firstTokenMs.p95)} ms at one node's requests and chunks before ${results.stream.targets} targets; the decision takes ${figure(entry.decisionMicros)} µs of processor time. Real engines' queues and round trips between places are not in it`,
    ],
    [
      '68 ms between tokens for 95 in 100',
      when(peak.tokenGapMs.p95 <= letter.tokenGapMs, 'holds by measurement at one entry'),
      `p95 ${figure(peak.tokenGapMs.p95)} ms with a step of ${results.stream.stepMs} ms at one node's chunks`,
    ],
    [
      '800 million cached blocks',
      'holds by measurement at one agent',
      `${figure(share.blocksPerTarget)} blocks in ${bytes(agent.index)}`,
    ],
    [
      '400,000 cache events a second',
      'holds by measurement at one agent',
      `${figure(share.eventsPerTarget)} a second cost ${cores(agent.eventCore)}; reading the event stream itself is not in it`,
    ],
    [
      '1,900 customers and 6 models',
      MEASURED,
      `all in the view of the measured node; ${figure(series.viewCustomer.fit.slope)} B a customer`,
    ],
  ];
}

function controlRows(results, series) {
  const control = budget.controlCost(results, series);
  const day = budget.claimMemory(series, DAY_SECONDS);
  const { delays, points } = results.control.changes;
  const last = results.control.claims.at(-1);
  const others = control.exchangeCore * (letter.controlInstances - 1);
  // The claims were made on instances that exchange among themselves: that part is in the line's value at none.
  const claimsCore = series.claimLeaderCore.fit.slope * claimsPerSecond;
  const core = control.watcherCoreOneLost.value + control.changeCore + claimsCore + others;
  const claimed = last.perSecond >= claimsPerSecond * REACHED && last.failed === 0;
  return [
    [
      '12,000 changes a day in force within 10 s',
      when(
        delays.length > 0 && delays.at(-1) <= letter.inForceMs,
        'holds by measurement, with fewer watchers',
      ),
      `${delays.length} changes at up to ${figure(points.at(-1).perSecond)} a second, worst ${figure(delays.at(-1) ?? Number.NaN)} ms with ${figure(results.control.changes.watchers)} watchers`,
    ],
    [
      '8 control instances',
      when(core <= MOST_CORE, EXTRAPOLATED),
      `the leader with one of 8 lost needs ${cores(core)}, ${figure(MOST_CORE * 100)} % taken as the most: watchers ${cores(control.watcherCoreOneLost.value)}, claims ${cores(claimsCore)}, exchange with 7 others ${cores(others)}`,
    ],
    [
      `Claims, taken as ${figure(claimsPerSecond)} a second`,
      when(claimed, MEASURED),
      `${figure(last.perSecond)} a second reached on three instances, ${last.failed} failed, p99 ${figure(last.p99)} ms`,
    ],
    [
      'Claims for a window of 24 hours',
      `${NOT_YET}: memory and the default limit`,
      `${figure(day.held)} claims are ${bytes(day.settled.value)} on each instance; the default of 1,000,000 is ${figure(budget.defaultWindowSeconds / 60)} minutes at the peak`,
    ],
    [
      '4 regions, 15 data centres',
      `${NOT_YET} shown: nothing ran over real distances`,
      'design and loss costs below; a region parted for an hour refuses documents and non-idempotent requests',
    ],
    [
      '35 failures and 510 restarts a day',
      EXTRAPOLATED,
      `${bytes(budget.churnBytes(results))} a second at each entry; detection times are settings`,
    ],
  ];
}

/** Rows of figure, verdict and ground. */
export function verdictRows(results, series) {
  return [...loadRows(results, series), ...nodeRows(results, series), ...controlRows(results, series)];
}
